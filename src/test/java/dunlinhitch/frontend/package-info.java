/** Tests of what all frontends share. */
package dunlinhitch.frontend;

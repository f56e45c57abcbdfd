/** Tests of the code that all frontends share. */
package dunlinhitch.frontend;

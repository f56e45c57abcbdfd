/** Tests of the discovery watch, of its list parser and of the endpoint list file. */
package dunlinhitch.discovery;

/**
 * A name server that misbehaves by script, and the plain look-up that discovery by DNS-SD is
 * measured against.
 */
package dunlinhitch.experiments.dns;

/**
 * A fake name server with scripted faults, and the baseline resolver with which measurements
 * compare DNS-SD discovery.
 */
package dunlinhitch.experiments.dns;

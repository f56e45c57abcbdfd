/**
 * A test bed of broker processes on loopback, with proxies that inject faults between them, and
 * models of whole clusters.
 */
package dunlinhitch.experiments.testbed;

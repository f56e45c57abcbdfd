/**
 * Clients that misuse a broker while others use it as intended: floods of requests, crowds of slow
 * connections and clients that leave. {@link dunlinhitch.experiments.flood.FloodRun} runs them
 * against a broker process on one core and reports what the other clients experience.
 */
package dunlinhitch.experiments.flood;

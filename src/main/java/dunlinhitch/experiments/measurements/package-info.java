/**
 * Measurements that print a table and whether the result is within the specified bound. Each is a
 * subcommand of {@code experiments measure}.
 */
package dunlinhitch.experiments.measurements;

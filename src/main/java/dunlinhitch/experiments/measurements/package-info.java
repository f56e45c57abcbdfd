/**
 * Measurements that print a table and whether the stated bound was held. Each is a subcommand of
 * {@code experiments measure}.
 */
package dunlinhitch.experiments.measurements;

/**
 * The settings of a load balancer, as immutable records that check their ranges on construction.
 *
 * <p>Entry point: {@link dunlinhitch.balancer.settings.Settings}. The package reads no files and
 * imports only the JDK. Messages of failed checks use the field names of the settings file.
 */
package dunlinhitch.balancer.settings;

/**
 * The settings of a load balancer, as immutable records that check their ranges when they are made.
 *
 * <p>Entry point: {@link dunlinhitch.balancer.settings.Settings}. The package reads no files and
 * imports nothing but the JDK. Messages of failed checks name the field as the settings file does.
 */
package dunlinhitch.balancer.settings;

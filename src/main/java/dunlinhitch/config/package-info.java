/**
 * Configuration: the platform's JSON file, the balancer settings within it, and the product's own
 * line-based settings file.
 *
 * <p>Entry points: {@link dunlinhitch.config.ConfigFile} reads the files at startup and on reload;
 * {@link dunlinhitch.config.Config} and {@link dunlinhitch.config.Product} hold their content;
 * {@link dunlinhitch.config.SettingsReader} reads balancer settings alone. Invalid files raise a
 * {@link dunlinhitch.config.Config.ConfigException} whose message is one line for the operator.
 *
 * <p>The package only reads configuration: it opens no connections and starts no threads. Classes
 * of {@code config.syntax} are loaded only if a product settings file exists.
 */
package dunlinhitch.config;

/**
 * Configuration: the platform's JSON file, the balancer settings within it, and the product's own
 * line-based settings file.
 *
 * <p>Entry points: {@link dunlinhitch.config.ConfigFile} reads the files at the start and on
 * reload, {@link dunlinhitch.config.Config} and {@link dunlinhitch.config.Product} are what they
 * contain, {@link dunlinhitch.config.SettingsReader} reads settings alone. Unusable files raise a
 * {@link dunlinhitch.config.Config.ConfigException} whose message is one line for the operator.
 *
 * <p>The package only reads: it opens no connection, starts no thread and switches nothing on.
 * Classes of {@code config.syntax} are loaded only if a product settings file exists.
 */
package dunlinhitch.config;

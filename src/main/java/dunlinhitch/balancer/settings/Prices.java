package dunlinhitch.balancer.settings;

/**
 * The costs of side effects of decisions, in points of the deployment's score.
 *
 * @param crossZone for a request to another zone
 * @param healthCheck for a health check
 * @param waste for work whose result is not used
 * @param lateFail for a late failure
 */
public record Prices(double crossZone, double healthCheck, double waste, double lateFail) {}

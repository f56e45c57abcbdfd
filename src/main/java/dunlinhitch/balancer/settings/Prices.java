package dunlinhitch.balancer.settings;

/**
 * The costs of side effects of decisions, in points of the deployment's score.
 *
 * @param crossZone cost of a request to another zone
 * @param healthCheck cost of a health check
 * @param waste cost of work whose result is not used
 * @param lateFail cost of a late failure
 */
public record Prices(double crossZone, double healthCheck, double waste, double lateFail) {}

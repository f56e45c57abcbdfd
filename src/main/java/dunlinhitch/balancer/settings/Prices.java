package dunlinhitch.balancer.settings;

/**
 * What the deployment charges for side effects of decisions, in points of its score.
 *
 * @param crossZone for a request to another zone
 * @param healthCheck for a health check
 * @param waste for work that nobody uses
 * @param lateFail for a failure that comes late
 */
public record Prices(double crossZone, double healthCheck, double waste, double lateFail) {}

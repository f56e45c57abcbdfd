package dunlinhitch.balancer.settings;

/** Points taken off, as told. */
public record Prices(double crossZone, double probe, double waste, double lateFail) {}

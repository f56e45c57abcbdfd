package dunlinhitch.endpoints;

/**
 * What the claims on one endpoint amount to.
 *
 * @param claim the claim that takes precedence
 * @param endpoint its endpoint, completed by other claims of the same precedence
 * @param status the status by the claims alone, without flap damping and stand-ins
 */
record Evaluation(
    ActiveClaim claim, Endpoint endpoint, EndpointStatus status, StatusReason reason) {}

package dunlinhitch.endpoints;

/**
 * The combined result of the claims on one endpoint.
 *
 * @param claim the claim that takes precedence
 * @param endpoint its endpoint, completed by other claims of the same precedence
 * @param status the status according to the claims alone, without flap damping and stand-ins
 */
record Evaluation(
    ActiveClaim claim, Endpoint endpoint, EndpointStatus status, StatusReason reason) {}

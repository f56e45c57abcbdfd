package dunlinhitch.endpoints;

/**
 * The combined result of the claims on one endpoint.
 *
 * @param claim the claim that takes precedence
 * @param endpoint the endpoint of that claim, completed from other claims of the same precedence
 * @param status the status according to the claims alone, before flap damping and the selection of
 *     substitutes
 */
record Evaluation(
    ActiveClaim claim, Endpoint endpoint, EndpointStatus status, StatusReason reason) {}

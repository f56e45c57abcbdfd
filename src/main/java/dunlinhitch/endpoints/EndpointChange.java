package dunlinhitch.endpoints;

/**
 * A change of one endpoint in the list that the registry publishes.
 *
 * @param endpoint the endpoint in the form that the balancer and the transports use
 * @param endpointChanged whether {@code endpoint} differs from the previously published one; if
 *     not, only the status or its reason has changed
 * @param announced whether the change should be logged; false for an endpoint of a trusted source
 */
public record EndpointChange(
    Endpoint endpoint,
    EndpointStatus status,
    StatusReason reason,
    boolean endpointChanged,
    boolean announced) {}

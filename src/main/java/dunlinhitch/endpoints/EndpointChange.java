package dunlinhitch.endpoints;

/**
 * A change of one endpoint in the list that the registry publishes.
 *
 * @param endpoint the endpoint as the balancer and the transports are to use it
 * @param endpointChanged whether {@code endpoint} differs from the one published before; if not,
 *     only the status or its reason has changed
 * @param announced false if the endpoint comes from a trusted source, so that the change need not
 *     be logged
 */
public record EndpointChange(
    Endpoint endpoint,
    EndpointStatus status,
    StatusReason reason,
    boolean endpointChanged,
    boolean announced) {}

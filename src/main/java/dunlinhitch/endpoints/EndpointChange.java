package dunlinhitch.endpoints;

/**
 * A store is from now on something else to the broker.
 *
 * @param entry what the decisions and the edges are to know; its state is one of {@code
 *     ServerState}
 * @param told true where {@code entry} differs from what it was before; else only the reason or the
 *     status does
 * @param announced false where the only source is one that is taken at its word: then nothing need
 *     be said of it
 */
public record EndpointChange(
    Endpoint entry, EndpointStatus status, StatusReason reason, boolean told, boolean announced) {}

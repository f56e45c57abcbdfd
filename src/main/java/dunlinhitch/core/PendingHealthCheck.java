package dunlinhitch.core;

/**
 * A health check that was sent and is waiting for its result.
 *
 * @param id the number that identifies it to edges
 * @param endpoint the endpoint being checked
 * @param sentUs when it was sent, in microseconds
 */
record PendingHealthCheck(long id, TrackedEndpoint endpoint, long sentUs) {}

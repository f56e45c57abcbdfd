package dunlinhitch.core;

/**
 * A health check that was sent and has no result yet.
 *
 * @param id the number that edges know it by
 * @param endpoint what is checked
 * @param sentUs when it was sent, in microseconds
 */
record PendingHealthCheck(long id, TrackedEndpoint endpoint, long sentUs) {}

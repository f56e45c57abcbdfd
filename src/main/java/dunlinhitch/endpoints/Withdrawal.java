package dunlinhitch.endpoints;

/**
 * The last withdrawal of an endpoint. A source withdraws an endpoint when the last claim of that
 * source on the endpoint ends.
 *
 * @param atUs the time of the withdrawal, in microseconds
 * @param source the source whose last claim ended
 * @param reason the reason why that claim ended
 * @param endpoint the endpoint of that claim
 */
record Withdrawal(long atUs, ClaimSource source, StatusReason reason, Endpoint endpoint) {
  /** Returns a copy whose reason is that the source was removed from the registry. */
  Withdrawal withSourceRemoved() {
    return new Withdrawal(atUs, source, StatusReason.SOURCE_REMOVED, endpoint);
  }
}

package dunlinhitch.endpoints;

/**
 * The last withdrawal of an endpoint by a source that no longer has a claim on it.
 *
 * @param atUs when, in microseconds
 * @param source the source whose last claim ended
 * @param reason why it ended
 * @param endpoint the endpoint of that claim
 */
record Withdrawal(long atUs, ClaimSource source, StatusReason reason, Endpoint endpoint) {
  /** The same withdrawal after its source was removed from the registry. */
  Withdrawal withSourceRemoved() {
    return new Withdrawal(atUs, source, StatusReason.SOURCE_REMOVED, endpoint);
  }
}

package dunlinhitch.discovery;

/** What {@link WatchStateMachine} wants done; {@link DiscoveryWatch} does it. */
sealed interface WatchAction {
  /**
   * Open a connection and request the list.
   *
   * @param requestId number of the request, unique within a state machine
   * @param sinceGeneration generation of the list that is known, or {@link
   *     WatchStateMachine#NO_GENERATION} for a complete one
   */
  record OpenRequest(long requestId, String host, int port, long sinceGeneration)
      implements WatchAction {}

  /** Close the connection of that request. */
  record CloseRequest(long requestId) implements WatchAction {}

  /** Count a watch or a request that failed. */
  record CountFailure() implements WatchAction {}

  /** Report that nothing was received since then: the known list may be out of date. */
  record ReportUnavailable(long sinceUs) implements WatchAction {}

  /** Report that discovery is available again. */
  record ReportRecovered() implements WatchAction {}
}

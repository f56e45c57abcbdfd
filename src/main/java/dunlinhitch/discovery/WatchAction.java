package dunlinhitch.discovery;

/** An action that {@link WatchStateMachine} requests and {@link DiscoveryWatch} performs. */
sealed interface WatchAction {
  /**
   * Open a connection and request the list.
   *
   * @param requestId id of the request, unique within a state machine
   * @param sinceGeneration generation of the known list, or {@link WatchStateMachine#NO_GENERATION}
   *     to request a complete list
   */
  record OpenRequest(long requestId, String host, int port, long sinceGeneration)
      implements WatchAction {}

  /** Close the connection of a request. */
  record CloseRequest(long requestId) implements WatchAction {}

  /** Count a failed watch or request. */
  record CountFailure() implements WatchAction {}

  /** Report that nothing was received since {@code sinceUs}; the known list may be outdated. */
  record ReportUnavailable(long sinceUs) implements WatchAction {}

  /** Report that discovery is available again. */
  record ReportRecovered() implements WatchAction {}
}

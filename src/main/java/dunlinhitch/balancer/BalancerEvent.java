package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Settings;
import java.util.List;

/** An event that the load balancer handles. Times are in microseconds. */
public sealed interface BalancerEvent {
  /** The broker has started. This is the first event and occurs once. */
  record Started() implements BalancerEvent {}

  /**
   * A query arrived. The {@link PartArrived} events of its parts follow at the same time.
   *
   * @param number identifies the query in its {@link PartArrived} events
   * @param queryClass index of its class in the settings
   * @param tenant index of its tenant in the settings, negative for none
   * @param parts number of parts that follow
   * @param deadlineUs when its client stops waiting
   * @param hintUs the client's estimate of the work of all parts, 0 for none
   * @param retriedByClient whether the client has sent this query before
   */
  record QueryArrived(
      int id,
      long number,
      int queryClass,
      int tenant,
      int parts,
      long deadlineUs,
      long hintUs,
      boolean retriedByClient)
      implements BalancerEvent {}

  /**
   * One part of the query with the given number arrived.
   *
   * @param weight fraction of the query's answer that the part contributes, 0 to 1
   * @param hintUs the client's estimate of the part's work, 0 for none
   * @param unconfirmedAttempts number of earlier attempts, sent under another part id, that servers
   *     may still be executing; an {@link AttemptReleased} follows for each of them once its server
   *     is known to have ended it
   */
  record PartArrived(
      int id, long number, int shard, double weight, long hintUs, int unconfirmedAttempts)
      implements BalancerEvent {
    /** Creates the event for a part without earlier attempts. */
    public PartArrived(int id, long number, int shard, double weight, long hintUs) {
      this(id, number, shard, weight, hintUs, 0);
    }
  }

  /** The answer of a streamed attempt has begun. */
  record AttemptStarted(int part, int attempt, int server, long elapsedUs)
      implements BalancerEvent {}

  /**
   * An attempt ended.
   *
   * @param attempt number of the attempt among those of its part, from 0
   * @param settled whether the part needs no further attempt
   * @param report the server's load report, empty for none
   * @param unconfirmed whether the server may still be executing the attempt although the broker no
   *     longer waits for it; if a part may have only one attempt at a time, its next attempt is not
   *     sent before {@link AttemptReleased}
   */
  // The record is never compared or hashed, so an array component is safe. It avoids boxing the
  // values of each report.
  @SuppressWarnings("ArrayRecordComponent")
  record AttemptCompleted(
      int part,
      int attempt,
      AttemptOutcome outcome,
      int server,
      long elapsedUs,
      boolean settled,
      float[] report,
      boolean unconfirmed)
      implements BalancerEvent {
    /** Creates the event for an attempt that its server is no longer executing. */
    public AttemptCompleted(
        int part,
        int attempt,
        AttemptOutcome outcome,
        int server,
        long elapsedUs,
        boolean settled,
        float[] report) {
      this(part, attempt, outcome, server, elapsedUs, settled, report, false);
    }
  }

  /**
   * The server of an unconfirmed attempt of the part is no longer executing it. May arrive before
   * the attempt's {@link AttemptCompleted}.
   */
  record AttemptReleased(int part) implements BalancerEvent {}

  /**
   * A health check ended.
   *
   * @param report the server's load report, empty for none
   */
  // The record is never compared or hashed, so an array component is safe. It avoids boxing the
  // values of each report.
  @SuppressWarnings("ArrayRecordComponent")
  record HealthCheckCompleted(int server, AttemptOutcome outcome, long elapsedUs, float[] report)
      implements BalancerEvent {}

  /** The server list has changed, or could not be read. */
  record ServerListUpdated(ServerListKind kind, List<ServerEntry> servers)
      implements BalancerEvent {}

  /**
   * An operator has disabled or enabled a server. The server keeps its id, and goes through slow
   * start after it was enabled.
   *
   * @param disabled true if the server was disabled, false if it was enabled
   */
  record ServerDisabled(int server, boolean disabled) implements BalancerEvent {}

  /**
   * New settings apply from now on; queries in flight keep their class. Zones and layout must not
   * change.
   */
  record SettingsChanged(Settings settings) implements BalancerEvent {}

  /** The timer that was scheduled with this token is due. */
  record TimerFired(long token) implements BalancerEvent {}

  /** A message from another broker arrived; the load balancer ignores it. */
  // The record is never compared or hashed, so an array component is safe. It holds the bytes as
  // they were read.
  @SuppressWarnings("ArrayRecordComponent")
  record PeerMessageReceived(int sender, byte[] content) implements BalancerEvent {}

  /** The client of a query has disconnected, which ends the query and its parts. */
  record ClientDisconnected(int query) implements BalancerEvent {}
}

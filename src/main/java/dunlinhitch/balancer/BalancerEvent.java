package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Settings;
import java.util.List;

/** Something that happened and that the load balancer handles. Times are in microseconds. */
public sealed interface BalancerEvent {
  /** The broker has started; the first event, once. */
  record Started() implements BalancerEvent {}

  /**
   * A query arrived; its parts follow at the same time.
   *
   * @param number ties the parts to the query
   * @param queryClass index of its class in the settings
   * @param tenant index of its tenant in the settings, below 0 for none
   * @param parts how many parts follow
   * @param deadlineUs when its client stops waiting
   * @param hintUs the client's hint of the work of all parts, 0 for none
   * @param retriedByClient the client has asked this before
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
   * One part of the query with that number.
   *
   * @param weight share of the query's answer, 0 to 1
   * @param hintUs the client's hint of the part's work, 0 for none
   * @param unconfirmedAttempts earlier attempts, under another id, that servers may still have; an
   *     {@link AttemptReleased} follows for each that turns out to be over
   */
  record PartArrived(
      int id, long number, int shard, double weight, long hintUs, int unconfirmedAttempts)
      implements BalancerEvent {
    /** A part without earlier attempts. */
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
   * @param settled the part needs no further attempt
   * @param report the server's load report, empty for none
   * @param unconfirmed the broker waits no longer, but the server may still have the attempt: where
   *     a part may have one attempt at a time, the next waits for {@link AttemptReleased}
   */
  // Not compared or hashed: an array spares the boxing of each report.
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
    /** The end of an attempt that its server does not have any more. */
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
   * The server of an unconfirmed attempt of the part does not have it any more. May come before the
   * attempt's {@link AttemptCompleted}.
   */
  record AttemptReleased(int part) implements BalancerEvent {}

  /**
   * A health check ended.
   *
   * @param report the server's load report, empty for none
   */
  // Not compared or hashed: an array spares the boxing of each report.
  @SuppressWarnings("ArrayRecordComponent")
  record HealthCheckCompleted(int server, AttemptOutcome outcome, long elapsedUs, float[] report)
      implements BalancerEvent {}

  /** The server list has changed, or could not be read. */
  record ServerListUpdated(ServerListKind kind, List<ServerEntry> servers)
      implements BalancerEvent {}

  /**
   * An operator has disabled or enabled a server, which keeps its id. An enabled one is in slow
   * start.
   *
   * @param disabled true for disabled
   */
  record ServerDisabled(int server, boolean disabled) implements BalancerEvent {}

  /**
   * Other settings are in force from now on; queries in flight keep their class. Zones and layout
   * must be the same as before.
   */
  record SettingsChanged(Settings settings) implements BalancerEvent {}

  /** A timer scheduled with this token is due. */
  record TimerFired(long token) implements BalancerEvent {}

  /** A message of another broker arrived; the load balancer ignores it. */
  // Not compared or hashed: the bytes as they were read.
  @SuppressWarnings("ArrayRecordComponent")
  record PeerMessageReceived(int sender, byte[] content) implements BalancerEvent {}

  /** The client of a query has disconnected; the query and its parts are over. */
  record ClientDisconnected(int query) implements BalancerEvent {}
}

package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Settings;
import java.util.List;

/** Something that happened, as the load balancer is told. */
public sealed interface BalancerEvent {
  /** The aggregator begins; the first event, once. */
  record Started() implements BalancerEvent {}

  /**
   * A query was taken; its parts follow at the same time. {@code deadlineUs}: when its client stops
   * waiting. {@code hintUs} 0: no hint.
   */
  record QueryArrived(
      int id,
      long number,
      int queryClass,
      int tenant,
      int parts,
      long deadlineUs,
      long hintUs,
      boolean repeat)
      implements BalancerEvent {}

  /** One part of the query with that number. */
  record PartArrived(int id, long number, int shard, double weight, long hintUs)
      implements BalancerEvent {}

  /** The answer of a streamed attempt has begun. */
  record AttemptStarted(int part, int attempt, int server, long elapsedUs)
      implements BalancerEvent {}

  /** An attempt ended; {@code settled}: its part is done. An empty {@code report} is none. */
  record AttemptCompleted(
      int part,
      int attempt,
      AttemptOutcome outcome,
      int server,
      long elapsedUs,
      boolean settled,
      float[] report)
      implements BalancerEvent {}

  /** A probe came back. */
  record HealthCheckCompleted(int server, AttemptOutcome outcome, long elapsedUs, float[] report)
      implements BalancerEvent {}

  /** News of the server list. */
  record ServerListUpdated(ServerListKind kind, List<ServerEntry> servers)
      implements BalancerEvent {}

  /**
   * A server is taken out by hand, or may serve again: it is new and cold then. Its id stays the
   * same meanwhile.
   */
  record ServerDisabled(int server, boolean out) implements BalancerEvent {}

  /**
   * Other settings hold from now on; queries that are open keep their class. Zones and layout are
   * the same.
   */
  record SettingsChanged(Settings settings) implements BalancerEvent {}

  /** An alarm set earlier is due. */
  record TimerFired(long token) implements BalancerEvent {}

  /** Bytes from another aggregator. */
  record PeerMessageReceived(int sender, byte[] content) implements BalancerEvent {}

  /** The client of a query has gone; the query and its parts are over. */
  record ClientDisconnected(int query) implements BalancerEvent {}
}

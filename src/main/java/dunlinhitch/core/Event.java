package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointClaim;
import java.util.List;
import java.util.Set;

/**
 * Something that happened at an edge. The {@link Reducer} handles events in order, each in the
 * stage of its group. Times are microseconds of the broker's clock unless they say otherwise.
 */
public sealed interface Event {
  /** Events of clients' queries. */
  sealed interface QueryEvent extends Event {}

  /** Events of attempts at endpoints. */
  sealed interface AttemptEvent extends Event {}

  /** Events that say which endpoints there are and in what state. */
  sealed interface EndpointEvent extends Event {}

  /** Events that come of operators' calls. */
  sealed interface OperatorEvent extends Event {}

  /** Events of the configuration and of how many processes share it. */
  sealed interface ConfigurationEvent extends Event {}

  /** Events of draining and shutdown. */
  sealed interface LifecycleEvent extends Event {}

  /** Events of the cluster and of the versions that its members compare. */
  sealed interface ClusterEvent extends Event {}

  /**
   * A frontend has read a complete request.
   *
   * @param exchange the frontend's number for the exchange; unique within the process
   * @param request the request
   */
  record QueryReceived(long exchange, QueryRequest request) implements QueryEvent {}

  /** The client of that exchange has disconnected. */
  record ClientDisconnected(long exchange) implements QueryEvent {}

  /**
   * An attempt has ended, at an endpoint or on the way.
   *
   * @param attempt the number given with {@link Effect.AttemptRequest}
   * @param outcome how it ended
   * @param report the load report that came with it, empty for none
   * @param value the value, where it was served
   * @param score ranks the part among those of its query for a second step; NaN where the endpoint
   *     gave no number
   * @param unconfirmed the transport has given the attempt up, and the endpoint may still have it
   *     until {@link AttemptReleased}
   */
  // an array, for copies or boxed values would cost the hot path; nobody writes to a report
  @SuppressWarnings("ArrayRecordComponent")
  record AttemptCompleted(
      long attempt,
      AttemptOutcome outcome,
      float[] report,
      String value,
      double score,
      boolean unconfirmed)
      implements AttemptEvent {
    private static final float[] NO_REPORT = {};

    /** An end that the endpoint knows of as well. */
    public AttemptCompleted(
        long attempt, AttemptOutcome outcome, float[] report, String value, double score) {
      this(attempt, outcome, report, value, score, false);
    }

    /** An end with a value that has no score. */
    public AttemptCompleted(long attempt, AttemptOutcome outcome, float[] report, String value) {
      this(attempt, outcome, report, value, Double.NaN);
    }

    /** An end with neither report nor value. */
    public static AttemptCompleted of(long attempt, AttemptOutcome outcome) {
      return new AttemptCompleted(attempt, outcome, NO_REPORT, "");
    }

    /** The end of an attempt whose connection this broker has given up. */
    public static AttemptCompleted unconfirmed(long attempt, AttemptOutcome outcome) {
      return new AttemptCompleted(attempt, outcome, NO_REPORT, "", Double.NaN, true);
    }
  }

  /**
   * The endpoint of a cancelled or unconfirmed attempt does not have it any more: it has read the
   * cancellation, answered, or seen the end of the connection, or the attempt never left.
   */
  record AttemptReleased(long attempt) implements AttemptEvent {}

  /**
   * The first pass of a part was answered.
   *
   * @param attempt the number given with {@link Effect.AttemptRequest}
   * @param receivedUs when it was read, which may be well before the turn that handles it
   * @param report the load report that came with it, empty for none
   * @param records how many records the shard has for the query
   * @param version the version of the shard's data
   * @param emptyValue the value of a part without any record
   */
  // an array, for copies or boxed values would cost the hot path; nobody writes to a report
  @SuppressWarnings("ArrayRecordComponent")
  record FirstPassCompleted(
      long attempt,
      long receivedUs,
      float[] report,
      long records,
      String version,
      String emptyValue)
      implements AttemptEvent {}

  /** So many attempts of one request have been written to an endpoint's connection. */
  record AttemptsWritten(int attempts) implements AttemptEvent {}

  /**
   * A health check has ended.
   *
   * @param healthCheck the number given with {@link Effect.SendHealthCheck}
   * @param outcome how it ended
   * @param report the load report that came with it, empty for none
   */
  // an array, for copies or boxed values would cost the hot path; nobody writes to a report
  @SuppressWarnings("ArrayRecordComponent")
  record HealthCheckCompleted(long healthCheck, AttemptOutcome outcome, float[] report)
      implements Event {}

  /**
   * Discovery has sent its endpoint list, or changes of it.
   *
   * @param kind whether the list is complete, restored from a file, or a set of changes
   * @param endpoints the endpoints
   */
  record EndpointsUpdated(ServerListKind kind, List<Endpoint> endpoints) implements EndpointEvent {
    /** Copies the list. */
    public EndpointsUpdated {
      endpoints = List.copyOf(endpoints);
    }
  }

  /** There has been no contact to discovery since then; the endpoint list may be out of date. */
  record DiscoveryUnavailable(long sinceUs) implements EndpointEvent {}

  /** There is contact to discovery again. */
  record DiscoveryRecovered() implements EndpointEvent {}

  /**
   * There is a source of endpoints beside discovery.
   *
   * @param source its name
   * @param rank its precedence where sources disagree, 0 the highest
   */
  record SourceRegistered(String source, int rank) implements EndpointEvent {}

  /**
   * Such a source has sent claims.
   *
   * @param source its name
   * @param complete whether these are all of its claims; else they are changes
   * @param claims the claims
   */
  record SourceUpdated(String source, boolean complete, List<EndpointClaim> claims)
      implements EndpointEvent {
    /** Copies the list. */
    public SourceUpdated {
      claims = List.copyOf(claims);
    }
  }

  /** Such a source does not respond. */
  record SourceUnavailable(String source) implements EndpointEvent {}

  /** The configuration names the address of discovery. */
  record DiscoveryConfigured(String host, int port) implements ConfigurationEvent {}

  /**
   * An operator asks to disable an endpoint, or to enable it again.
   *
   * @param call the number of the call, which waits for its response
   * @param endpoint the endpoint's name
   * @param disable whether to disable it
   */
  record EndpointDisableRequested(long call, String endpoint, boolean disable)
      implements OperatorEvent {}

  /**
   * Another process of this broker, or an earlier one, was asked to disable or enable endpoints.
   *
   * @param disabled names of the disabled ones
   * @param enabled names of those that are enabled again
   */
  record DisabledEndpointsChanged(Set<String> disabled, Set<String> enabled)
      implements OperatorEvent {
    /** Copies the sets. */
    public DisabledEndpointsChanged {
      disabled = Set.copyOf(disabled);
      enabled = Set.copyOf(enabled);
    }
  }

  /**
   * A valid configuration was loaded again: its settings and its address of discovery are in force
   * from now on.
   */
  record ConfigurationReloaded(Settings settings, String host, int port)
      implements ConfigurationEvent {}

  /** Another process of this broker serves at the same time, until then at the latest. */
  record OverlapStarted(long untilUs) implements ConfigurationEvent {}

  /** The process is to end: every query, open or new, must have its response by then. */
  record DrainStarted(long dueUs) implements LifecycleEvent {}

  /** The grace period is over: open queries are completed and no new one is admitted. */
  record ShutdownRequested() implements LifecycleEvent {}

  /** Another member of the cluster has sent a message. */
  record GossipReceived(GossipMessage message) implements ClusterEvent {}

  /** The endpoint list that discovery sent last is of that generation. */
  record EndpointListGenerationChanged(long generation) implements ClusterEvent {}

  /**
   * The configuration file that will be loaded next was written then, Unix time in milliseconds.
   */
  record ConfigurationFileChanged(long writtenMs) implements ClusterEvent {}

  /** An edge met a condition that is only counted. */
  record ConditionCounted(Counter what) implements Event {}
}

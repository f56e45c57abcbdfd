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
 * stage responsible for its group. Times are in microseconds on the broker's clock unless stated
 * otherwise.
 */
public sealed interface Event {
  /** Events about client queries. */
  sealed interface QueryEvent extends Event {}

  /** Events about attempts at endpoints. */
  sealed interface AttemptEvent extends Event {}

  /** Events about the set of endpoints and their states. */
  sealed interface EndpointEvent extends Event {}

  /** Events caused by operator calls. */
  sealed interface OperatorEvent extends Event {}

  /** Events about the configuration and about the number of processes that share it. */
  sealed interface ConfigurationEvent extends Event {}

  /** Events about draining and shutdown. */
  sealed interface LifecycleEvent extends Event {}

  /** Events about the cluster and about the versions that its members compare. */
  sealed interface ClusterEvent extends Event {}

  /**
   * A frontend has read a complete request.
   *
   * @param exchange the frontend's number for the exchange; unique within the process
   * @param request the request
   * @param claim whether the id of the query was claimed among the processes of this broker
   */
  record QueryReceived(long exchange, QueryRequest request, IdClaim claim) implements QueryEvent {
    /** Creates the event of a query whose id is not shared with other processes. */
    public QueryReceived(long exchange, QueryRequest request) {
      this(exchange, request, IdClaim.NOT_SHARED);
    }

    /** Returns this event with the result of a claim. */
    public QueryReceived withClaim(IdClaim result) {
      return new QueryReceived(exchange, request, result);
    }
  }

  /** The result of claiming the id of a query among the processes of this broker. */
  enum IdClaim {
    /** This process shares no ids with others. */
    NOT_SHARED,
    /** This process has claimed the id, and releases it if nothing can have been executed. */
    CLAIMED,
    /** The id is claimed already, by this or another process. */
    REFUSED
  }

  /** The client of the exchange has disconnected. */
  record ClientDisconnected(long exchange) implements QueryEvent {}

  /**
   * An attempt has ended, either at the endpoint or in transport.
   *
   * @param attempt the number given with {@link Effect.AttemptRequest}
   * @param outcome how it ended
   * @param report the load report received with it; empty if there is none
   * @param value the value, if the endpoint returned one; otherwise null
   * @param score the score by which the parts of a query are ranked for its second step; NaN if the
   *     endpoint returned no numeric score
   * @param unconfirmed whether the transport abandoned the attempt although the endpoint may still
   *     execute it; {@link AttemptReleased} follows once the endpoint will no longer execute it
   */
  // an array avoids copies and boxing on the hot path; reports are never modified
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

    /** Creates the event for an attempt that the endpoint will no longer execute. */
    public AttemptCompleted(
        long attempt, AttemptOutcome outcome, float[] report, String value, double score) {
      this(attempt, outcome, report, value, score, false);
    }

    /** Creates the event for an attempt whose value has no score. */
    public AttemptCompleted(long attempt, AttemptOutcome outcome, float[] report, String value) {
      this(attempt, outcome, report, value, Double.NaN);
    }

    /** Creates the event for an attempt that returned neither a load report nor a value. */
    public static AttemptCompleted of(long attempt, AttemptOutcome outcome) {
      return new AttemptCompleted(attempt, outcome, NO_REPORT, "");
    }

    /** Creates the event for an attempt whose connection this broker closed. */
    public static AttemptCompleted unconfirmed(long attempt, AttemptOutcome outcome) {
      return new AttemptCompleted(attempt, outcome, NO_REPORT, "", Double.NaN, true);
    }
  }

  /**
   * The endpoint will no longer execute a cancelled or unconfirmed attempt: the endpoint has read
   * the cancellation, has answered, or has detected that the connection was closed, or the attempt
   * was never sent to it.
   */
  record AttemptReleased(long attempt) implements AttemptEvent {}

  /**
   * An endpoint has answered the first pass of a part.
   *
   * @param attempt the number given with {@link Effect.AttemptRequest}
   * @param receivedUs when the answer was read, which may be well before the turn that handles it
   * @param report the load report received with it; empty if there is none
   * @param records the number of records in the shard that match the query
   * @param version the version of the shard's data
   * @param emptyValue the value of a part without matching records
   */
  // an array avoids copies and boxing on the hot path; reports are never modified
  @SuppressWarnings("ArrayRecordComponent")
  record FirstPassCompleted(
      long attempt,
      long receivedUs,
      float[] report,
      long records,
      String version,
      String emptyValue)
      implements AttemptEvent {}

  /** The given number of attempts of one request have been written to an endpoint's connection. */
  record AttemptsWritten(int attempts) implements AttemptEvent {}

  /**
   * A health check has ended.
   *
   * @param healthCheck the number given with {@link Effect.SendHealthCheck}
   * @param outcome how it ended
   * @param report the load report received with it; empty if there is none
   */
  // an array avoids copies and boxing on the hot path; reports are never modified
  @SuppressWarnings("ArrayRecordComponent")
  record HealthCheckCompleted(long healthCheck, AttemptOutcome outcome, float[] report)
      implements Event {}

  /**
   * Discovery has sent its endpoint list, or changes to it.
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

  /**
   * There has been no contact with discovery since {@code sinceUs}; the endpoint list may be out of
   * date.
   */
  record DiscoveryUnavailable(long sinceUs) implements EndpointEvent {}

  /** Contact with discovery has been restored. */
  record DiscoveryRecovered() implements EndpointEvent {}

  /**
   * A source of endpoints besides discovery has been configured.
   *
   * @param source its name
   * @param rank its precedence when sources disagree; 0 is the highest
   */
  record SourceRegistered(String source, int rank) implements EndpointEvent {}

  /**
   * A source besides discovery has sent claims.
   *
   * @param source its name
   * @param complete true if these are all claims of the source, false if they are changes
   * @param claims the claims
   */
  record SourceUpdated(String source, boolean complete, List<EndpointClaim> claims)
      implements EndpointEvent {
    /** Copies the list. */
    public SourceUpdated {
      claims = List.copyOf(claims);
    }
  }

  /** A source besides discovery does not respond. */
  record SourceUnavailable(String source) implements EndpointEvent {}

  /** The discovery address has been configured. */
  record DiscoveryConfigured(String host, int port) implements ConfigurationEvent {}

  /**
   * An operator has requested to disable an endpoint, or to enable it again.
   *
   * @param call the number of the operator's call, which is waiting for a response
   * @param endpoint the endpoint's name
   * @param disable true to disable the endpoint, false to enable it
   */
  record EndpointDisableRequested(long call, String endpoint, boolean disable)
      implements OperatorEvent {}

  /**
   * Endpoints were disabled or enabled through another process of this broker, which runs at the
   * same time or ran earlier.
   *
   * @param disabled names of the endpoints that are now disabled
   * @param enabled names of the endpoints that are enabled again
   */
  record DisabledEndpointsChanged(Set<String> disabled, Set<String> enabled)
      implements OperatorEvent {
    /** Copies the sets. */
    public DisabledEndpointsChanged {
      disabled = Set.copyOf(disabled);
      enabled = Set.copyOf(enabled);
    }
  }

  /** A valid configuration was reloaded; its settings and discovery address take effect now. */
  record ConfigurationReloaded(Settings settings, String host, int port)
      implements ConfigurationEvent {}

  /**
   * During a hot restart, another process of this broker serves clients concurrently, until {@code
   * untilUs} at the latest.
   */
  record OverlapStarted(long untilUs) implements ConfigurationEvent {}

  /**
   * The process is draining: every query, open or new, must receive its response by {@code dueUs}.
   */
  record DrainStarted(long dueUs) implements LifecycleEvent {}

  /** The process is shutting down: open queries are completed and no new ones are admitted. */
  record ShutdownRequested() implements LifecycleEvent {}

  /** A message from another member of the cluster was received. */
  record GossipReceived(GossipMessage message) implements ClusterEvent {}

  /** The latest endpoint list of discovery has the given generation. */
  record EndpointListGenerationChanged(long generation) implements ClusterEvent {}

  /**
   * The configuration file that the next reload will read was last written at {@code writtenMs}, in
   * Unix time in milliseconds.
   */
  record ConfigurationFileChanged(long writtenMs) implements ClusterEvent {}

  /** A condition at an edge that is counted and requires no other action. */
  record ConditionCounted(Counter counter) implements Event {}
}

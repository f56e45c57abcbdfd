package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointClaim;
import java.util.List;
import java.util.Set;

/** Something that happened at an edge; the {@link Reducer} takes them in order. */
public sealed interface Event {
  /** A front has read a request whole; {@code exchange} is the front's own number for it. */
  record QueryReceived(long exchange, QueryRequest ask) implements Event {}

  /** The client of that exchange has gone. */
  record ClientDisconnected(long exchange) implements Event {}

  /**
   * An attempt came to an end at a store or on the way; {@code value} and {@code score} only where
   * it was served. The score ranks the part among those of its query for a second step; NaN where
   * the store gave no number.
   */
  record AttemptCompleted(
      long attempt, AttemptOutcome outcome, float[] report, String value, double score)
      implements Event {
    private static final float[] NO_REPORT = {};

    /** An end with a value that nothing ranks. */
    public AttemptCompleted(long attempt, AttemptOutcome outcome, float[] report, String value) {
      this(attempt, outcome, report, value, Double.NaN);
    }

    /** An end that brings neither report nor value. */
    public static AttemptCompleted of(long attempt, AttemptOutcome outcome) {
      return new AttemptCompleted(attempt, outcome, NO_REPORT, "");
    }
  }

  /**
   * A first answer came at {@code cameUs}, which may be well before the turn that takes it: how
   * many records the block has, its data's version, and the value that stands for none.
   */
  record FirstPassCompleted(
      long attempt, long cameUs, float[] report, long records, String version, String emptyValue)
      implements Event {}

  /** So many attempts of a call have been written whole to a store. */
  record AttemptsWritten(int tries) implements Event {}

  /** A probe came back. */
  record HealthCheckCompleted(long probe, AttemptOutcome outcome, float[] report)
      implements Event {}

  /** News of the stores. */
  record EndpointsUpdated(ServerListKind kind, List<Endpoint> stores) implements Event {
    public EndpointsUpdated {
      stores = List.copyOf(stores);
    }
  }

  /** Discovery has not been heard since then; what is held may be out of date. */
  record DiscoveryUnavailable(long sinceUs) implements Event {}

  /** Discovery is heard again. */
  record DiscoveryRecovered() implements Event {}

  /** A source of stores beside discovery is there, with its standing among those that disagree. */
  record SourceRegistered(String source, int rank) implements Event {}

  /** Such a source says something: all that it has to say ({@code whole}), or some of it. */
  record SourceUpdated(String source, boolean whole, List<EndpointClaim> claims) implements Event {
    public SourceUpdated {
      claims = List.copyOf(claims);
    }
  }

  /** Such a source does not answer. */
  record SourceUnavailable(String source) implements Event {}

  /** The configuration names discovery's address: at the start. */
  record DiscoveryConfigured(String host, int port) implements Event {}

  /** An operator wants a store out, or back; the call waits for its word. */
  record EndpointDisableRequested(long call, String store, boolean out) implements Event {}

  /**
   * Stores that are out or back by what another process of this broker, or an earlier one, was
   * asked.
   */
  record DisabledEndpointsChanged(Set<String> out, Set<String> back) implements Event {
    public DisabledEndpointsChanged {
      out = Set.copyOf(out);
      back = Set.copyOf(back);
    }
  }

  /**
   * The configuration was read again and can be used: from now on its settings and its discovery's
   * address hold.
   */
  record ConfigurationReloaded(Settings settings, String host, int port) implements Event {}

  /** Another process of this broker serves beside this one, until then at the latest. */
  record OverlapStarted(long untilUs) implements Event {}

  /**
   * The process is to end: whatever was taken, and is taken from now on, has its answer by then.
   */
  record DrainStarted(long dueUs) implements Event {}

  /** The grace before the end is over: what is open is finished, and nothing new is taken. */
  record ShutdownRequested() implements Event {}

  /** Another broker said something. */
  record GossipReceived(GossipMessage word) implements Event {}

  /** The platform's list that was told last is of that generation. */
  record EndpointListGenerationChanged(long generation) implements Event {}

  /**
   * The file with the configuration that is taken next was written then, Unix time in milliseconds.
   */
  record ConfigurationFileChanged(long writtenMs) implements Event {}

  /** An edge met something worth counting. */
  record ConditionCounted(Counter what) implements Event {}
}

package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Merges the claims of any number of sources into one consistent endpoint list. The input is
 * claims, each with a time, an expiry and the rank of its source. The output is changes of the
 * list, each with a reason. The rules are documented in docs/membership.md.
 *
 * <p>No I/O, clock or threads: every call passes the time (in microseconds, which must never
 * decrease), and {@link #nextUs} returns the latest time at which {@link #advanceTo} must be called
 * next. The cost of a call depends on what it changes and is independent of the length of the list.
 * Not thread-safe.
 */
public final class EndpointRegistry {
  /**
   * An active claim, or an endpoint that is remembered without a claim. Rows are shown to operators
   * and written to the endpoint list file.
   *
   * @param name name of the endpoint
   * @param endpoint the claimed endpoint; for an endpoint without claims, the endpoint as last
   *     published
   * @param source name of the source; empty if there is no claim
   * @param key key of the claim; empty if there is no claim
   * @param sinceUs when the claim got its current content, or when the endpoint was withdrawn
   * @param reportedUs when the claim was last reported, or when the endpoint was withdrawn
   * @param expiresUs when the claim expires, or {@link TimingWheel#NEVER}
   * @param stale whether the claim has expired or its source is unavailable
   */
  public record Row(
      String name,
      EndpointStatus status,
      StatusReason reason,
      Endpoint endpoint,
      String source,
      String key,
      long sinceUs,
      long reportedUs,
      long expiresUs,
      boolean stale) {}

  private final Map<String, ClaimSource> sources = new LinkedHashMap<>();

  /** The endpoints that must be reevaluated before the current call returns. */
  private final Set<EndpointRecord> pending = new LinkedHashSet<>();

  private final RegistryTimers timers;
  private final ClaimTable claims;
  private final ClaimEvaluator evaluator;
  private final ShardCoverage coverage;
  private final StatusUpdater statuses;
  private final ChangePublisher publisher;
  private long version;

  /** Creates an empty registry whose time begins at {@code nowUs}. */
  public EndpointRegistry(EndpointRegistrySettings settings, long nowUs) {
    timers = new RegistryTimers(nowUs);
    claims = new ClaimTable(settings, timers, pending);
    AddressIndex addresses = new AddressIndex(pending);
    evaluator = new ClaimEvaluator(addresses);
    coverage = new ShardCoverage(settings);
    statuses = new StatusUpdater(settings, timers, claims, addresses, coverage, pending);
    publisher = new ChangePublisher(evaluator);
  }

  /**
   * Registers a source. If the claims of two sources conflict, the source with the lower {@code
   * rank} takes precedence. If the ranks are equal, the endpoint is disputed. Claims of a {@code
   * trusted} source are exempt from linger, flap damping and address conflicts. Registering a
   * source again has no effect.
   */
  public void registerSource(String source, int rank, boolean trusted) {
    sources.computeIfAbsent(source, name -> new ClaimSource(name, rank, trusted));
  }

  /**
   * Applies an update from a source. If {@code complete} is true, the update is the source's
   * complete list, and all claims of the source that are not on the list are withdrawn. A claim
   * that is older than the active claim with the same key is ignored.
   *
   * @throws IllegalArgumentException if the source is not registered
   */
  public List<EndpointChange> update(
      long nowUs, String sourceName, boolean complete, Collection<EndpointClaim> updates) {
    timers.advance(nowUs);
    ClaimSource source = sources.get(sourceName);
    if (source == null) {
      throw new IllegalArgumentException("source '" + sourceName + "' is not registered");
    }
    source.unavailable = false;
    for (EndpointClaim update : updates) {
      claims.apply(source, update);
    }
    if (complete) {
      withdrawUnlisted(source, updates);
      source.initialListReceived = true;
    }
    return collectChanges();
  }

  private void withdrawUnlisted(ClaimSource source, Collection<EndpointClaim> updates) {
    Set<String> listedKeys = new HashSet<>();
    for (EndpointClaim update : updates) {
      listedKeys.add(update.key());
    }
    for (ActiveClaim claim : List.copyOf(source.claims.values())) {
      if (!listedKeys.contains(claim.key)) {
        claims.withdraw(claim, StatusReason.WITHDRAWN_BY_SOURCE);
      }
    }
  }

  /**
   * Marks a source as unavailable. Its claims stay active until they expire, and then remain as
   * stale claims for another {@code staleForUs}.
   */
  public List<EndpointChange> sourceUnavailable(long nowUs, String sourceName) {
    timers.advance(nowUs);
    ClaimSource source = sources.get(sourceName);
    if (source != null && !source.unavailable) {
      source.unavailable = true;
      version++;
    }
    return collectChanges();
  }

  /** Removes a source and withdraws its claims. */
  public List<EndpointChange> removeSource(long nowUs, String sourceName) {
    timers.advance(nowUs);
    ClaimSource source = sources.remove(sourceName);
    if (source != null) {
      for (ActiveClaim claim : List.copyOf(source.claims.values())) {
        claims.withdraw(claim, StatusReason.SOURCE_REMOVED);
      }
      claims.onSourceRemoved(source);
    }
    return collectChanges();
  }

  /**
   * Advances the time to {@code nowUs}. Handles the claims that have expired by then, and the
   * suppressions and linger times that have ended.
   */
  public List<EndpointChange> advanceTo(long nowUs) {
    timers.advance(nowUs);
    return collectChanges();
  }

  /** The latest time at which {@link #advanceTo} must be called, or {@link TimingWheel#NEVER}. */
  public long nextUs() {
    return timers.nextUs();
  }

  /**
   * The number of claims rejected since the start, because their cell does not exist or the maximum
   * number of endpoints was reached.
   */
  public long rejectedClaims() {
    return claims.rejected();
  }

  /** Incremented with every change of {@link #rows}, except for renewals of claims. */
  public long version() {
    return version;
  }

  /** All active claims, and the endpoints that are remembered without a claim. */
  public List<Row> rows() {
    List<Row> rows = new ArrayList<>();
    for (EndpointRecord endpoint : claims.endpoints()) {
      if (endpoint.claims.isEmpty() && endpoint.status != EndpointStatus.GONE) {
        rows.add(rowOfUnclaimed(endpoint));
      }
      for (ActiveClaim claim : endpoint.claims) {
        rows.add(rowOf(endpoint, claim));
      }
    }
    return rows;
  }

  private static Row rowOfUnclaimed(EndpointRecord endpoint) {
    long withdrawnUs = endpoint.lastWithdrawal.atUs();
    return new Row(
        endpoint.name,
        endpoint.status,
        endpoint.reason,
        endpoint.published,
        "",
        "",
        withdrawnUs,
        withdrawnUs,
        TimingWheel.NEVER,
        false);
  }

  private static Row rowOf(EndpointRecord endpoint, ActiveClaim claim) {
    return new Row(
        endpoint.name,
        endpoint.status,
        endpoint.reason,
        claim.endpoint,
        claim.source.name,
        claim.key,
        claim.sinceUs,
        claim.reportedUs,
        claim.expiresUs,
        claim.stale || claim.source.unavailable);
  }

  /** Reevaluates the pending endpoints and returns the changes in the order of evaluation. */
  private List<EndpointChange> collectChanges() {
    Set<EndpointRecord> evaluated = new LinkedHashSet<>();
    // The evaluation of one endpoint may add others to the pending ones.
    while (!pending.isEmpty()) {
      List<EndpointRecord> batch = List.copyOf(pending);
      pending.clear();
      for (EndpointRecord endpoint : batch) {
        updateStatus(endpoint);
        evaluated.add(endpoint);
      }
    }
    coverage.update(evaluated);
    List<EndpointChange> changes = new ArrayList<>();
    for (EndpointRecord endpoint : evaluated) {
      EndpointChange change = publisher.publish(endpoint);
      if (change != null) {
        changes.add(change);
      }
    }
    version += changes.size();
    return changes;
  }

  private void updateStatus(EndpointRecord endpoint) {
    Evaluation evaluation = evaluator.evaluate(endpoint);
    if (evaluation == null) {
      statuses.onUnclaimed(endpoint);
    } else {
      statuses.onClaimed(endpoint, evaluation);
    }
  }
}

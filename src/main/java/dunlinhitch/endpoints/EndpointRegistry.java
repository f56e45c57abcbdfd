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
 * The endpoint list that any number of sources amount to: claims go in, each with its time, expiry
 * and the rank of its source, and changes of one consistent list come out, each with its reason.
 * docs/membership.md has the rules.
 *
 * <p>No I/O, clock or threads: every call brings the time (microseconds, never running back), and
 * {@link #nextUs} says when {@link #advanceTo} is needed next. The cost of a call depends on what
 * it changes, not on the length of the list. Not thread-safe.
 */
public final class EndpointRegistry {
  /**
   * One claim in force, or an endpoint that is remembered without any, for operators and for the
   * endpoint list file.
   *
   * @param name name of the endpoint
   * @param endpoint what the claim says; for an endpoint without claims what was published last
   * @param source name of the source; empty without a claim
   * @param key key of the claim; empty without a claim
   * @param sinceUs since when the claim has this content, or when the endpoint was withdrawn
   * @param reportedUs when the claim was reported last, or when the endpoint was withdrawn
   * @param expiresUs when the claim expires, or {@link TimingWheel#NEVER}
   * @param stale the claim has expired or its source is unavailable
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

  /** Endpoints to evaluate again before the call in progress returns. */
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
   * Registers a source. Of two sources whose claims conflict the one of the lower {@code rank}
   * wins; between two of one rank the endpoint is disputed. Claims of a {@code trusted} source are
   * taken as they are. Registering a source again changes nothing.
   */
  public void registerSource(String source, int rank, boolean trusted) {
    sources.computeIfAbsent(source, name -> new ClaimSource(name, rank, trusted));
  }

  /**
   * Takes in an update of a source: its {@code complete} list, which withdraws what is not on it,
   * or some claims. A claim that is older than the one in force under its key is ignored.
   *
   * @throws IllegalArgumentException where the source is not registered
   */
  public List<EndpointChange> update(
      long nowUs, String sourceName, boolean complete, Collection<EndpointClaim> updates) {
    timers.advance(nowUs);
    ClaimSource source = sources.get(sourceName);
    if (source == null) {
      throw new IllegalArgumentException("no such source: " + sourceName);
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
   * A source does not answer. Its claims stay in force until they expire, and as stale ones for
   * {@code staleForUs} after that.
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
   * Lets time pass: expiries, suppressions and lingers that are due by {@code nowUs} take effect.
   */
  public List<EndpointChange> advanceTo(long nowUs) {
    timers.advance(nowUs);
    return collectChanges();
  }

  /** When {@link #advanceTo} is needed at the latest, or {@link TimingWheel#NEVER}. */
  public long nextUs() {
    return timers.nextUs();
  }

  /** Claims rejected since the start: of cells that do not exist, or beyond the bound of names. */
  public long rejectedClaims() {
    return claims.rejected();
  }

  /** Rises with every change of {@link #rows} other than the mere renewal of claims. */
  public long version() {
    return version;
  }

  /** All claims in force, and the endpoints that are remembered without one. */
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

  /** Brings all endpoints up to date and returns what has changed, in the order of evaluation. */
  private List<EndpointChange> collectChanges() {
    Set<EndpointRecord> evaluated = new LinkedHashSet<>();
    while (!pending.isEmpty()) { // an evaluation may make others necessary
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

package dunlinhitch.cluster.versions;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Detects brokers that run with older versions than others, and decides when they are reported,
 * refreshed and fenced. The input is the versions that the brokers announce, the output is
 * verdicts.
 *
 * <p>Bounds: a broker is reported as outdated {@code reportAfterUs} after this broker has received
 * both the newer version and the version of the outdated broker. It is fenced {@code fenceAfterUs}
 * after more than half of the brokers have announced the newer version. Therefore no broker is
 * fenced before most brokers have received a change, and a single faulty broker cannot cause others
 * to be fenced. An outdated broker detects that it is outdated when another broker announces the
 * newer version, and applies the same times to itself.
 *
 * <p>Pure: no clock, I/O or threads. Not thread-safe; owned by the reducer. Times are microseconds
 * of a monotonic clock.
 */
public final class VersionSkewDetector {
  /** The state of one outdated broker with regard to one kind of version. */
  private static final class Skew {
    private static final long NO_MAJORITY = -1;

    private final long sinceUs;

    /** The time since which most brokers have run with the newer version. */
    private long majoritySinceUs = NO_MAJORITY;

    private long lastRefreshUs;
    private boolean reported;
    private boolean fenced;

    Skew(long sinceUs) {
      this.sinceUs = sinceUs;
    }

    boolean hasMajority() {
      return majoritySinceUs >= 0;
    }

    void updateMajority(boolean majorityIsNewer, long nowUs) {
      if (!majorityIsNewer) {
        majoritySinceUs = NO_MAJORITY;
      } else if (!hasMajority()) {
        majoritySinceUs = nowUs;
      }
    }
  }

  /**
   * The result of comparing a broker's version of one kind with the newest version of that kind.
   */
  private record Comparison(
      boolean isOutdated, boolean majorityIsNewer, String current, String newest) {}

  private final VersionSkewSettings settings;
  private final String self;
  private final Map<String, VersionVector> versionsByBroker = new LinkedHashMap<>();
  private final Map<String, Map<SkewVerdict.Kind, Skew>> skewsByBroker = new LinkedHashMap<>();
  private final List<SkewVerdict> pendingVerdicts = new ArrayList<>();

  /**
   * Creates a detector; {@code self} is this broker's name, {@code own} are the versions that it
   * runs with.
   */
  public VersionSkewDetector(VersionSkewSettings settings, String self, VersionVector own) {
    this.settings = settings;
    this.self = self;
    versionsByBroker.put(self, own);
  }

  /**
   * Handles an announcement of the versions that a broker, possibly this one, runs with. An
   * announcement that arrives after a newer one of the same broker is ignored.
   */
  public void onVersions(long nowUs, String broker, VersionVector versions) {
    VersionVector before = versionsByBroker.get(broker);
    if (before != null && isReordered(before, versions)) {
      return;
    }
    versionsByBroker.put(broker, versions);
    evaluate(nowUs);
  }

  private static boolean isReordered(VersionVector before, VersionVector received) {
    return before.settings().equals(received.settings())
        && before.build().equals(received.build())
        && received.endpointListGeneration() < before.endpointListGeneration()
        && received.settingsMs() <= before.settingsMs();
  }

  /**
   * Removes another broker that is no longer a member, so that its versions are no longer taken
   * into account.
   */
  public void onMemberLeft(long nowUs, String broker) {
    if (!broker.equals(self) && versionsByBroker.remove(broker) != null) {
      skewsByBroker.remove(broker);
      evaluate(nowUs);
    }
  }

  /** Returns the verdicts since the last call. */
  public List<SkewVerdict> verdicts(long nowUs) {
    evaluate(nowUs);
    List<SkewVerdict> verdicts = List.copyOf(pendingVerdicts);
    pendingVerdicts.clear();
    return verdicts;
  }

  /** The latest time at which {@link #verdicts} must be called, in microseconds. */
  public long nextUs() {
    long next = pendingVerdicts.isEmpty() ? Long.MAX_VALUE : 0;
    for (Map.Entry<String, Map<SkewVerdict.Kind, Skew>> entry : skewsByBroker.entrySet()) {
      boolean own = entry.getKey().equals(self);
      for (Skew skew : entry.getValue().values()) {
        next = Math.min(next, nextUs(skew, own));
      }
    }
    return next;
  }

  private long nextUs(Skew skew, boolean own) {
    if (!skew.reported) {
      return skew.sinceUs + settings.reportAfterUs();
    }
    long next = Long.MAX_VALUE;
    if (!skew.fenced && skew.hasMajority()) {
      next = skew.majoritySinceUs + settings.fenceAfterUs();
    }
    return own ? Math.min(next, skew.lastRefreshUs + settings.refreshIntervalUs()) : next;
  }

  /** The fenced brokers, possibly including this one. */
  public Set<String> fenced() {
    Set<String> fenced = new TreeSet<>();
    skewsByBroker.forEach(
        (broker, skews) -> {
          if (skews.values().stream().anyMatch(skew -> skew.fenced)) {
            fenced.add(broker);
          }
        });
    return fenced;
  }

  /** The versions that each broker has announced. */
  public Map<String, VersionVector> versionsByBroker() {
    return Map.copyOf(versionsByBroker);
  }

  /**
   * The newest settings of any broker. Of two settings that were written at the same time, those
   * with the higher digest count as newer, so that all brokers choose the same settings.
   */
  private VersionVector newestSettings() {
    VersionVector newest = versionsByBroker.get(self);
    for (VersionVector candidate : versionsByBroker.values()) {
      boolean isNewer = candidate.settingsMs() > newest.settingsMs();
      boolean isTie = candidate.settingsMs() == newest.settingsMs();
      if (isNewer || (isTie && candidate.settings().compareTo(newest.settings()) > 0)) {
        newest = candidate;
      }
    }
    return newest;
  }

  private void evaluate(long nowUs) {
    VersionVector newest = newestSettings();
    long upToDate =
        versionsByBroker.values().stream()
            .filter(versions -> versions.settings().equals(newest.settings()))
            .count();
    Map<String, Long> newestGenerations = newestGenerationBySettings();
    for (Map.Entry<String, VersionVector> entry : versionsByBroker.entrySet()) {
      VersionVector versions = entry.getValue();
      Comparison settingsComparison =
          new Comparison(
              !versions.settings().equals(newest.settings()),
              isMajority(upToDate),
              versions.settings(),
              newest.settings());
      evaluate(nowUs, entry.getKey(), SkewVerdict.Kind.SETTINGS, settingsComparison);
      Comparison generationComparison =
          compareGeneration(versions, newestGenerations.get(versions.settings()));
      evaluate(nowUs, entry.getKey(), SkewVerdict.Kind.ROSTER, generationComparison);
    }
  }

  private Map<String, Long> newestGenerationBySettings() {
    Map<String, Long> newest = new LinkedHashMap<>();
    for (VersionVector versions : versionsByBroker.values()) {
      newest.merge(versions.settings(), versions.endpointListGeneration(), Math::max);
    }
    return newest;
  }

  /**
   * Compares generations of the endpoint list, which are comparable only among brokers with the
   * same settings.
   */
  private Comparison compareGeneration(VersionVector versions, long newestGeneration) {
    long newer =
        versionsByBroker.values().stream()
            .filter(other -> other.settings().equals(versions.settings()))
            .filter(other -> other.endpointListGeneration() > versions.endpointListGeneration())
            .count();
    return new Comparison(
        versions.endpointListGeneration() < newestGeneration,
        isMajority(newer),
        Long.toString(versions.endpointListGeneration()),
        Long.toString(newestGeneration));
  }

  private boolean isMajority(long brokers) {
    return 2 * brokers > versionsByBroker.size();
  }

  private void evaluate(long nowUs, String broker, SkewVerdict.Kind kind, Comparison comparison) {
    Map<SkewVerdict.Kind, Skew> skews =
        skewsByBroker.computeIfAbsent(broker, name -> new EnumMap<>(SkewVerdict.Kind.class));
    if (!comparison.isOutdated()) {
      Skew ended = skews.remove(kind);
      if (ended != null && ended.reported) {
        SkewVerdict.Step step = ended.fenced ? SkewVerdict.Step.LET_IN : SkewVerdict.Step.CAUGHT_UP;
        addVerdict(broker, kind, step, comparison, nowUs - ended.sinceUs);
      }
      return;
    }
    Skew skew = skews.computeIfAbsent(kind, absent -> new Skew(nowUs));
    skew.updateMajority(comparison.majorityIsNewer(), nowUs);
    escalate(nowUs, broker, kind, comparison, skew);
  }

  private void escalate(
      long nowUs, String broker, SkewVerdict.Kind kind, Comparison comparison, Skew skew) {
    long durationUs = nowUs - skew.sinceUs;
    if (!skew.reported && durationUs >= settings.reportAfterUs()) {
      skew.reported = true;
      skew.lastRefreshUs = nowUs - settings.refreshIntervalUs();
      addVerdict(broker, kind, SkewVerdict.Step.SEEN, comparison, durationUs);
    }
    boolean refreshIsDue = nowUs - skew.lastRefreshUs >= settings.refreshIntervalUs();
    if (skew.reported && broker.equals(self) && refreshIsDue) {
      skew.lastRefreshUs = nowUs;
      addVerdict(broker, kind, SkewVerdict.Step.BRING_UP, comparison, durationUs);
    }
    if (!skew.fenced
        && skew.hasMajority()
        && nowUs - skew.majoritySinceUs >= settings.fenceAfterUs()) {
      skew.fenced = true;
      addVerdict(broker, kind, SkewVerdict.Step.SHUT_OUT, comparison, durationUs);
    }
  }

  private void addVerdict(
      String broker,
      SkewVerdict.Kind kind,
      SkewVerdict.Step step,
      Comparison comparison,
      long durationUs) {
    pendingVerdicts.add(
        new SkewVerdict(broker, kind, step, comparison.current(), comparison.newest(), durationUs));
  }
}

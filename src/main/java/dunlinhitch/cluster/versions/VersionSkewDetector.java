package dunlinhitch.cluster.versions;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which brokers act on older versions than others, since when, and what follows. Pure: what each
 * broker says it acts on goes in, verdicts come out; time is given.
 *
 * <p>Bounds: a broker is seen as a straggler {@code boundUs} after this one has heard both of the
 * newer version and of the one that the straggler holds; it is shut out {@code shutUs} after more
 * than half of the brokers were heard to hold the newer. So while a change is brought to one broker
 * after the other nobody is shut out for not having it, and one that says strange things shuts out
 * nobody. A broker that is itself behind knows it as soon as it hears of the newer version from
 * anyone, and goes by the same times.
 */
public final class VersionSkewDetector {
  /** One broker's standing in one kind. */
  private static final class Behind {
    private final long sinceUs;

    /** Since when most brokers hold the newer version; below 0: they do not. */
    private long mostUs = -1;

    private long askedUs;
    private boolean seen;
    private boolean shut;

    Behind(long sinceUs) {
      this.sinceUs = sinceUs;
    }
  }

  private final VersionSkewSettings rule;
  private final String self;
  private final Map<String, VersionVector> held = new LinkedHashMap<>();
  private final Map<String, Map<SkewVerdict.Kind, Behind>> behind = new LinkedHashMap<>();
  private final List<SkewVerdict> verdicts = new ArrayList<>();

  public VersionSkewDetector(VersionSkewSettings rule, String self, VersionVector own) {
    this.rule = rule;
    this.self = self;
    held.put(self, own);
  }

  /**
   * A broker acts on these from now on, this one or another; a word that came late may not take it
   * back.
   */
  public void told(long nowUs, String broker, VersionVector versions) {
    VersionVector before = held.get(broker);
    boolean late =
        before != null
            && before.settings().equals(versions.settings())
            && before.build().equals(versions.build())
            && versions.roster() < before.roster()
            && versions.settingsMs() <= before.settingsMs();
    if (!late) {
      held.put(broker, versions);
      judge(nowUs);
    }
  }

  /** A broker is there no more: what it said binds nobody. */
  public void left(long nowUs, String broker) {
    if (!broker.equals(self) && held.remove(broker) != null) {
      behind.remove(broker);
      judge(nowUs);
    }
  }

  /** Time has passed; what was decided since the last call. */
  public List<SkewVerdict> passed(long nowUs) {
    judge(nowUs);
    List<SkewVerdict> decided = List.copyOf(verdicts);
    verdicts.clear();
    return decided;
  }

  /** When {@link #passed} is to be called next, at the latest. */
  public long nextUs() {
    long next = verdicts.isEmpty() ? Long.MAX_VALUE : 0;
    for (Map.Entry<String, Map<SkewVerdict.Kind, Behind>> broker : behind.entrySet()) {
      for (Behind b : broker.getValue().values()) {
        next =
            Math.min(
                next,
                !b.seen
                    ? b.sinceUs + rule.boundUs()
                    : !b.shut && b.mostUs >= 0 ? b.mostUs + rule.shutUs() : Long.MAX_VALUE);
        next =
            broker.getKey().equals(self) && b.seen
                ? Math.min(next, b.askedUs + rule.againUs())
                : next;
      }
    }
    return next;
  }

  /** Brokers that are shut out, this one too where it is. */
  public Set<String> shutOut() {
    Set<String> out = new TreeSet<>();
    behind.forEach(
        (broker, kinds) -> {
          if (kinds.values().stream().anyMatch(b -> b.shut)) {
            out.add(broker);
          }
        });
    return out;
  }

  /** What each broker acts on, as far as is known here. */
  public Map<String, VersionVector> held() {
    return Map.copyOf(held);
  }

  /**
   * The newest settings that anybody acts on; of two that are meant since the same time the higher
   * digest, at all brokers alike.
   */
  VersionVector newestSettings() {
    VersionVector newest = held.get(self);
    for (VersionVector v : held.values()) {
      if (v.settingsMs() > newest.settingsMs()
          || (v.settingsMs() == newest.settingsMs()
              && v.settings().compareTo(newest.settings()) > 0)) {
        newest = v;
      }
    }
    return newest;
  }

  private void judge(long nowUs) {
    VersionVector newest = newestSettings();
    long holders =
        held.values().stream().filter(v -> v.settings().equals(newest.settings())).count();
    Map<String, Long> rosters = new LinkedHashMap<>();
    held.values().forEach(v -> rosters.merge(v.settings(), v.roster(), Math::max));
    for (Map.Entry<String, VersionVector> entry : held.entrySet()) {
      VersionVector v = entry.getValue();
      boolean old = !v.settings().equals(newest.settings());
      judge(
          nowUs,
          entry.getKey(),
          SkewVerdict.Kind.SETTINGS,
          old,
          2 * holders > held.size(),
          v.settings(),
          newest.settings());
      long roster = rosters.get(v.settings());
      long with =
          held.values().stream()
              .filter(o -> o.settings().equals(v.settings()) && o.roster() > v.roster())
              .count();
      judge(
          nowUs,
          entry.getKey(),
          SkewVerdict.Kind.ROSTER,
          v.roster() < roster,
          2 * with > held.size(),
          Long.toString(v.roster()),
          Long.toString(roster));
    }
  }

  private void judge(
      long nowUs,
      String broker,
      SkewVerdict.Kind kind,
      boolean old,
      boolean most,
      String has,
      String newest) {
    Map<SkewVerdict.Kind, Behind> kinds =
        behind.computeIfAbsent(broker, b -> new EnumMap<>(SkewVerdict.Kind.class));
    Behind b = kinds.get(kind);
    if (!old) {
      kinds.remove(kind);
      if (b != null && b.seen) {
        verdicts.add(
            new SkewVerdict(
                broker,
                kind,
                b.shut ? SkewVerdict.Step.LET_IN : SkewVerdict.Step.CAUGHT_UP,
                has,
                newest,
                nowUs - b.sinceUs));
      }
      return;
    }
    if (b == null) {
      b = new Behind(nowUs);
      kinds.put(kind, b);
    }
    long forUs = nowUs - b.sinceUs;
    b.mostUs = !most ? -1 : b.mostUs < 0 ? nowUs : b.mostUs;
    if (!b.seen && forUs >= rule.boundUs()) {
      b.seen = true;
      b.askedUs = nowUs - rule.againUs();
      verdicts.add(new SkewVerdict(broker, kind, SkewVerdict.Step.SEEN, has, newest, forUs));
    }
    if (b.seen && broker.equals(self) && nowUs - b.askedUs >= rule.againUs()) {
      b.askedUs = nowUs;
      verdicts.add(new SkewVerdict(broker, kind, SkewVerdict.Step.BRING_UP, has, newest, forUs));
    }
    if (!b.shut && b.mostUs >= 0 && nowUs - b.mostUs >= rule.shutUs()) {
      b.shut = true;
      verdicts.add(new SkewVerdict(broker, kind, SkewVerdict.Step.SHUT_OUT, has, newest, forUs));
    }
  }
}

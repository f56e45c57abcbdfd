package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * What brokers tell each other and hold in common: for each key and author the latest fact. Taking
 * is commutative, associative and idempotent, bounds included, so that words may come late, doubled
 * and in any order: a fact is kept if it is the latest of its key and author and among the latest
 * that the rule has room for, whatever came before it. Signals, evidence and weights ride on this;
 * merging, age and bounds are written here once. No clock, no chance, no threads: the caller says
 * what time it is.
 */
public final class ReplicatedMap<K, V> {
  /** What became of a fact that was told. */
  public enum MergeResult {
    NEWS,
    KNOWN,
    OLD,
    FROM_THE_FUTURE,
    CROWDED_OUT
  }

  private record Place<K>(K key, String author) {}

  /** A fact and the count of changes at which it came in. */
  private record Held<K, V>(ReplicatedEntry<K, V> fact, long version) {}

  private final ReplicatedMapSettings rule;
  private final Map<Place<K>, Held<K, V>> held = new HashMap<>();

  /** The first is the first to go. */
  private final TreeSet<ReplicatedEntry<K, V>> byAge;

  private final Map<String, TreeSet<ReplicatedEntry<K, V>>> byAuthor = new HashMap<>();
  private final Comparator<ReplicatedEntry<K, V>> age;
  private long version;

  /** {@code order} is a total order of the keys, the same at every broker. */
  public ReplicatedMap(ReplicatedMapSettings rule, Comparator<? super K> order) {
    this.rule = rule;
    age =
        Comparator.<ReplicatedEntry<K, V>>comparingLong(ReplicatedEntry::atUs)
            .thenComparing(ReplicatedEntry::author)
            .thenComparing(ReplicatedEntry::key, order);
    byAge = new TreeSet<>(age);
  }

  /**
   * Takes what was told, be it the author's own word or another's: only {@link MergeResult#NEWS}
   * changes anything.
   */
  public MergeResult take(long nowUs, ReplicatedEntry<K, V> told) {
    Objects.requireNonNull(told.key());
    forget(nowUs);
    if (told.atUs() > nowUs + rule.skewUs()) {
      return MergeResult.FROM_THE_FUTURE;
    }
    if (told.atUs() <= nowUs - rule.lifeUs()) {
      return MergeResult.OLD;
    }
    Place<K> place = new Place<>(told.key(), told.author());
    Held<K, V> before = held.get(place);
    if (before != null && before.fact().atUs() >= told.atUs()) {
      return before.fact().atUs() == told.atUs() ? MergeResult.KNOWN : MergeResult.OLD;
    }
    if (before != null) {
      remove(before.fact());
    }
    TreeSet<ReplicatedEntry<K, V>> own =
        byAuthor.computeIfAbsent(told.author(), author -> new TreeSet<>(age));
    held.put(place, new Held<>(told, ++version));
    own.add(told);
    byAge.add(told);
    if (own.size() > rule.mostOfAuthor()) {
      remove(own.first());
    }
    if (byAge.size() > rule.most()) {
      remove(byAge.first());
    }
    return held.containsKey(place) ? MergeResult.NEWS : MergeResult.CROWDED_OUT;
  }

  /**
   * Drops what is too old to say anything; nothing else ever removes a fact but a later one, the
   * rule's bounds, and {@link #leave}.
   */
  public void forget(long nowUs) {
    while (!byAge.isEmpty() && byAge.first().atUs() <= nowUs - rule.lifeUs()) {
      remove(byAge.first());
    }
  }

  /** Drops all that this author said: it has left for good, or is not believed any more. */
  public void leave(String author) {
    List.copyOf(byAuthor.getOrDefault(author, new TreeSet<>(age))).forEach(this::remove);
  }

  private void remove(ReplicatedEntry<K, V> fact) {
    held.remove(new Place<>(fact.key(), fact.author()));
    byAge.remove(fact);
    TreeSet<ReplicatedEntry<K, V>> own = byAuthor.get(fact.author());
    own.remove(fact);
    if (own.isEmpty()) {
      byAuthor.remove(fact.author());
    }
  }

  /** What that author last said of the key, or null. */
  public ReplicatedEntry<K, V> of(K key, String author) {
    Held<K, V> found = held.get(new Place<>(key, author));
    return found == null ? null : found.fact();
  }

  /** All that is held, the latest first, in the same order at every broker that holds the same. */
  public List<ReplicatedEntry<K, V>> all() {
    return List.copyOf(byAge.descendingSet());
  }

  /** What each author last said of the key, the latest first. */
  public List<ReplicatedEntry<K, V>> of(K key) {
    return byAge.descendingSet().stream().filter(fact -> fact.key().equals(key)).toList();
  }

  /** Rises with every change. */
  public long version() {
    return version;
  }

  /** The latest {@code most} of what came in after that version: what is still to be passed on. */
  public List<ReplicatedEntry<K, V>> since(long version, int most) {
    List<ReplicatedEntry<K, V>> news = new ArrayList<>();
    for (ReplicatedEntry<K, V> fact : byAge.descendingSet()) {
      if (news.size() < most
          && held.get(new Place<>(fact.key(), fact.author())).version() > version) {
        news.add(fact);
      }
    }
    return news;
  }

  public int size() {
    return byAge.size();
  }
}

package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * A last-writer-wins map that is replicated among brokers and stores the latest entry for each key
 * and origin. Merging, including the enforcement of the bounds, is commutative, associative and
 * idempotent, so entries may arrive late, duplicated or in any order. An entry is retained if it is
 * the latest of its key and origin, and if it is among the latest entries that fit within the
 * bounds. Whether an entry is retained does not depend on the order in which the entries arrived.
 *
 * <p>Pure: no clock, randomness or threads; callers pass the wall-clock time in microseconds. Not
 * thread-safe.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class ReplicatedMap<K, V> {
  /** The result of merging an entry. */
  public enum MergeResult {
    /** The entry is new and was stored. */
    NEWS,
    /** The entry had already been stored. */
    KNOWN,
    /** The entry has expired, or a later entry with the same key and origin is stored. */
    OLD,
    /** The timestamp is further in the future than the tolerated clock skew. */
    FROM_THE_FUTURE,
    /** The entry was dropped, because later entries already fill the map up to a bound. */
    CROWDED_OUT
  }

  private record EntryId<K>(K key, String origin) {}

  /** An entry, and the version of the map at the time when the entry was stored. */
  private record StoredEntry<K, V>(ReplicatedEntry<K, V> entry, long version) {}

  private final ReplicatedMapSettings settings;
  private final Map<EntryId<K>, StoredEntry<K, V>> entries = new HashMap<>();

  /** All entries, the oldest first. The oldest entry is evicted first. */
  private final TreeSet<ReplicatedEntry<K, V>> byAge;

  private final Map<String, TreeSet<ReplicatedEntry<K, V>>> byOrigin = new HashMap<>();
  private final Comparator<ReplicatedEntry<K, V>> oldestFirst;
  private long version;

  /**
   * Creates an empty map; {@code keyOrder} is a total order of the keys, the same at every broker.
   */
  public ReplicatedMap(ReplicatedMapSettings settings, Comparator<? super K> keyOrder) {
    this.settings = settings;
    oldestFirst =
        Comparator.<ReplicatedEntry<K, V>>comparingLong(ReplicatedEntry::timestampUs)
            .thenComparing(ReplicatedEntry::origin)
            .thenComparing(ReplicatedEntry::key, keyOrder);
    byAge = new TreeSet<>(oldestFirst);
  }

  /**
   * Removes the expired entries, then merges an entry that this or another broker created. The
   * merge changes the map only if its result is {@link MergeResult#NEWS} or {@link
   * MergeResult#CROWDED_OUT}.
   */
  public MergeResult merge(long nowUs, ReplicatedEntry<K, V> received) {
    Objects.requireNonNull(received.key());
    expire(nowUs);
    if (received.timestampUs() > nowUs + settings.skewUs()) {
      return MergeResult.FROM_THE_FUTURE;
    }
    if (received.timestampUs() <= nowUs - settings.timeToLiveUs()) {
      return MergeResult.OLD;
    }
    EntryId<K> id = new EntryId<>(received.key(), received.origin());
    StoredEntry<K, V> before = entries.get(id);
    if (before != null && before.entry().timestampUs() >= received.timestampUs()) {
      return before.entry().timestampUs() == received.timestampUs()
          ? MergeResult.KNOWN
          : MergeResult.OLD;
    }
    if (before != null) {
      remove(before.entry());
    }
    TreeSet<ReplicatedEntry<K, V>> ofOrigin =
        byOrigin.computeIfAbsent(received.origin(), origin -> new TreeSet<>(oldestFirst));
    entries.put(id, new StoredEntry<>(received, ++version));
    ofOrigin.add(received);
    byAge.add(received);
    evict(received.origin());
    return entries.containsKey(id) ? MergeResult.NEWS : MergeResult.CROWDED_OUT;
  }

  private void evict(String origin) {
    TreeSet<ReplicatedEntry<K, V>> ofOrigin = byOrigin.get(origin);
    if (ofOrigin.size() > settings.maxEntriesPerOrigin()) {
      remove(ofOrigin.first());
    }
    if (byAge.size() > settings.maxEntries()) {
      remove(byAge.first());
    }
  }

  /** Removes the entries that have expired. */
  public void expire(long nowUs) {
    while (!byAge.isEmpty() && byAge.first().timestampUs() <= nowUs - settings.timeToLiveUs()) {
      remove(byAge.first());
    }
  }

  /** Removes all entries of an origin that has left permanently or is no longer trusted. */
  public void removeOrigin(String origin) {
    TreeSet<ReplicatedEntry<K, V>> ofOrigin = byOrigin.get(origin);
    if (ofOrigin != null) {
      List.copyOf(ofOrigin).forEach(this::remove);
    }
  }

  private void remove(ReplicatedEntry<K, V> entry) {
    entries.remove(new EntryId<>(entry.key(), entry.origin()));
    byAge.remove(entry);
    TreeSet<ReplicatedEntry<K, V>> ofOrigin = byOrigin.get(entry.origin());
    ofOrigin.remove(entry);
    if (ofOrigin.isEmpty()) {
      byOrigin.remove(entry.origin());
    }
  }

  /** The stored entry with the given key and origin, or null. */
  public ReplicatedEntry<K, V> of(K key, String origin) {
    StoredEntry<K, V> stored = entries.get(new EntryId<>(key, origin));
    return stored == null ? null : stored.entry();
  }

  /** All entries, the latest first. The order is the same at every broker with the same entries. */
  public List<ReplicatedEntry<K, V>> all() {
    return List.copyOf(byAge.descendingSet());
  }

  /** The entry of each origin for the given key, the latest first. */
  public List<ReplicatedEntry<K, V>> of(K key) {
    return byAge.descendingSet().stream().filter(entry -> entry.key().equals(key)).toList();
  }

  /** Incremented with every entry that is stored. */
  public long version() {
    return version;
  }

  /**
   * The entries that were stored after the given version; if there are more than {@code limit}, the
   * latest of them.
   */
  public List<ReplicatedEntry<K, V>> since(long version, int limit) {
    List<ReplicatedEntry<K, V>> recent = new ArrayList<>();
    for (ReplicatedEntry<K, V> entry : byAge.descendingSet()) {
      if (recent.size() >= limit) {
        break;
      }
      if (entries.get(new EntryId<>(entry.key(), entry.origin())).version() > version) {
        recent.add(entry);
      }
    }
    return recent;
  }

  /** The number of entries. */
  public int size() {
    return byAge.size();
  }
}

package dunlinhitch.cluster;

/**
 * One entry of a {@link ReplicatedMap}. Two entries with the same origin and key never have the
 * same timestamp. The entry with the later timestamp replaces the other one.
 *
 * @param key the key of the entry
 * @param origin the broker that created the entry
 * @param timestampUs the time at which the entry was created, on the origin's wall clock, in
 *     microseconds
 * @param value the value of the entry
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public record ReplicatedEntry<K, V>(K key, String origin, long timestampUs, V value) {}

package dunlinhitch.cluster;

/**
 * One entry of a {@link ReplicatedMap}. Two entries with the same origin and key never share a
 * timestamp; the later one replaces the earlier.
 *
 * @param key its key
 * @param origin the broker that it originates from
 * @param timestampUs its timestamp on the origin's wall clock, in microseconds
 * @param value its value
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public record ReplicatedEntry<K, V>(K key, String origin, long timestampUs, V value) {}

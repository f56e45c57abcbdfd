package dunlinhitch.cluster;

/**
 * One entry of a {@link ReplicatedMap}. Entries of one origin about one key never share a
 * timestamp: the later replaces the earlier.
 *
 * @param key what the entry is about
 * @param origin the broker that it originates from
 * @param timestampUs its timestamp on the origin's wall clock, in microseconds
 * @param value its value
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public record ReplicatedEntry<K, V>(K key, String origin, long timestampUs, V value) {}

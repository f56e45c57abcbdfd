package dunlinhitch.cluster;

/**
 * One thing that one broker says: {@code key} is what it is about, {@code author} the broker's
 * name, {@code atUs} when it came to be so, by the author's day clock in µs. An author's facts
 * about one key never share a moment: the later one takes the place of the earlier.
 */
public record ReplicatedEntry<K, V>(K key, String author, long atUs, V value) {}

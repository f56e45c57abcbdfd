package dunlinhitch.phases;

import java.util.LinkedHashMap;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;

/**
 * What first answers told of each block: its data version, and for which predicates it had nothing or something then. Two
 * compressed bitmaps of 32-bit hashes for each block; bounded by blocks and by predicates a block, the oldest goes. A
 * summary is a hint: two predicates may share a hash, and data change. One thread at a time.
 */
public final class Summaries {
    /** What a summary suggests. */
    public enum Hint { UNKNOWN, NOTHING, SOMETHING }

    private static final class Block {
        private String version = "";
        private long heardUs;
        private RoaringBitmap nothing = new RoaringBitmap();
        private RoaringBitmap something = new RoaringBitmap();
    }

    private final int mostBlocks;
    private final int mostPredicates;
    private final long mostAgeUs;
    private final Map<Integer, Block> blocks = new LinkedHashMap<>(16, 0.75f, true);

    /** Summaries older than {@code mostAgeUs} (microseconds) suggest nothing. */
    public Summaries(int mostBlocks, int mostPredicates, long mostAgeUs) {
        this.mostBlocks = mostBlocks;
        this.mostPredicates = mostPredicates;
        this.mostAgeUs = mostAgeUs;
    }

    /** FNV-1a: the same for the same text in every process. */
    public static int feature(String predicate) {
        int hash = 0x811c9dc5;
        for (int i = 0; i < predicate.length(); i++) {
            hash = (hash ^ predicate.charAt(i)) * 0x01000193;
        }
        return hash;
    }

    /** A first answer of that version came; another version than before makes what was known void. */
    public void told(long nowUs, int block, String version, int feature, boolean empty) {
        Block b = blocks.computeIfAbsent(block, k -> new Block());
        if (!b.version.equals(version) || b.nothing.getCardinality() + b.something.getCardinality() >= mostPredicates) {
            b.version = version;
            b.nothing = new RoaringBitmap();
            b.something = new RoaringBitmap();
        }
        b.heardUs = nowUs;
        (empty ? b.nothing : b.something).add(feature);
        (empty ? b.something : b.nothing).remove(feature);
        if (blocks.size() > mostBlocks) {
            blocks.remove(blocks.keySet().iterator().next());
        }
    }

    public Hint hint(long nowUs, int block, int feature) {
        Block b = blocks.get(block);
        if (b == null || nowUs - b.heardUs > mostAgeUs) {
            return Hint.UNKNOWN;
        }
        return b.something.contains(feature) ? Hint.SOMETHING : b.nothing.contains(feature) ? Hint.NOTHING : Hint.UNKNOWN;
    }

    /** The block's data are other ones, or may be. */
    public void forget(int block) {
        blocks.remove(block);
    }

    public int size() {
        return blocks.size();
    }

    /** Bytes of the bitmaps. */
    public long bytes() {
        return blocks.values().stream().mapToLong(b -> b.nothing.getLongSizeInBytes() + b.something.getLongSizeInBytes())
                .sum();
    }
}

package dunlinhitch.server;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The query ids that the processes of one broker have claimed, in a file that each of them maps
 * into its memory. A claim is made by atomic memory operations alone: it neither waits for another
 * process nor calls the operating system, so a process that stands still or is killed blocks
 * nobody. Its claims stay valid until they expire, also for a process that starts later.
 *
 * <p>The file is a hash table of fixed size. An id belongs to one bucket; each slot of the bucket
 * holds the hash of an id and the time until which it is claimed. Two processes that claim an id at
 * the same time may take two slots. Each of them looks for the other after it has written its own
 * slot, so at least one of the two sees the other and gives up.
 *
 * <p>Times are microseconds of the system's monotonic clock, which all processes of a machine
 * share. Not thread-safe within a process.
 */
final class SharedQueryIds {
  /** Maximum time for which an id is claimed, in microseconds; a longer one is left by a reboot. */
  static final long MAX_CLAIM_US = 120_000_000;

  /** A claim lasts at most this much longer than requested, in microseconds. */
  static final long RESOLUTION_US = 131_072;

  static final int SLOTS_PER_BUCKET = 16;

  private static final int BUCKETS = 4_096;
  private static final int SLOT_BYTES = 2 * Long.BYTES;
  private static final int FILE_BYTES = BUCKETS * SLOTS_PER_BUCKET * SLOT_BYTES;

  /** Changes with the layout of the file or the hash of the ids. */
  private static final String FILE_NAME = "claims-1";

  /** The lowest bits of a claim's time hold the number of its process. */
  private static final long OWNER_MASK = 0xffff;

  private static final int NO_SLOT = -1;
  private static final long FREE = 0;

  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer slots;
  private final long owner = ThreadLocalRandom.current().nextLong(1, OWNER_MASK + 1);

  /** Called in the middle of a claim, when its slot is taken but does not hold the id yet. */
  private final Runnable reserved;

  private SharedQueryIds(ByteBuffer slots, Runnable reserved) {
    this.slots = slots;
    this.reserved = reserved;
  }

  /** Maps the file in a folder of the broker, and creates it if there is none. Blocks. */
  static SharedQueryIds open(Path folder) throws IOException {
    return open(folder, () -> {});
  }

  /**
   * Maps the file like {@link #open(Path)}.
   *
   * @param reserved called in the middle of each claim, for tests of claims that cross each other
   */
  static SharedQueryIds open(Path folder, Runnable reserved) throws IOException {
    Files.createDirectories(folder);
    Path file = folder.resolve(FILE_NAME);
    if (!Files.exists(file)) {
      create(folder, file);
    }
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      if (channel.size() != FILE_BYTES) {
        throw new IOException(
            "size of " + file + ": " + channel.size() + " bytes, expected " + FILE_BYTES);
      }
      MappedByteBuffer mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES);
      return new SharedQueryIds(mapped.load(), reserved);
    }
  }

  /**
   * Creates the file with all its blocks, so that a full disk cannot fail a claim. The file gets
   * its name only when it is complete; if another process is faster, its file is used.
   */
  private static void create(Path folder, Path file) throws IOException {
    Path incomplete = folder.resolve(UUID.randomUUID() + ".new");
    try {
      Files.write(incomplete, new byte[FILE_BYTES]);
      Files.createLink(file, incomplete);
    } catch (FileAlreadyExistsException e) {
      // another process has created the file in the meantime
    } finally {
      Files.deleteIfExists(incomplete);
    }
  }

  /**
   * Claims an id for a query of this process.
   *
   * @param untilUs when the claim expires, in microseconds
   * @return false if the id is claimed already, by this or another process
   */
  boolean claim(String id, long nowUs, long untilUs) {
    long hash = hash(id);
    int bucket = bucketOf(hash);
    if (find(bucket, hash, nowUs, NO_SLOT) != NO_SLOT) {
      return false;
    }
    long claim = withOwner(Math.min(untilUs, nowUs + MAX_CLAIM_US - RESOLUTION_US));
    int slot = reserve(bucket, nowUs, claim);
    reserved.run();
    LONGS.setVolatile(slots, hashPosition(slot), hash);
    if (find(bucket, hash, nowUs, slot) != NO_SLOT) {
      LONGS.compareAndSet(slots, untilPosition(slot), claim, FREE);
      return false;
    }
    return true;
  }

  /** Gives up this process's claim to an id, if it has not expired. */
  void release(String id, long nowUs) {
    long hash = hash(id);
    int slot = find(bucketOf(hash), hash, nowUs, NO_SLOT);
    if (slot != NO_SLOT) {
      long claim = untilUs(slot);
      if ((claim & OWNER_MASK) == owner) {
        LONGS.compareAndSet(slots, untilPosition(slot), claim, FREE);
      }
    }
  }

  /** Returns the slot of a claimed id other than {@code excluded}, or {@link #NO_SLOT}. */
  private int find(int bucket, long hash, long nowUs, int excluded) {
    for (int slot = bucket; slot < bucket + SLOTS_PER_BUCKET; slot++) {
      boolean matches = (long) LONGS.getVolatile(slots, hashPosition(slot)) == hash;
      if (matches && slot != excluded && isClaimed(untilUs(slot), nowUs)) {
        return slot;
      }
    }
    return NO_SLOT;
  }

  /**
   * Takes a free slot, or the one whose claim expires first. An attempt fails only if another
   * process has taken the same slot, so the loop ends.
   */
  private int reserve(int bucket, long nowUs, long claim) {
    while (true) {
      int best = bucket;
      long bestRank = Long.MAX_VALUE;
      long replaced = FREE;
      for (int slot = bucket; slot < bucket + SLOTS_PER_BUCKET; slot++) {
        long untilUs = untilUs(slot);
        long rank = isClaimed(untilUs, nowUs) ? untilUs : FREE;
        if (rank < bestRank) {
          best = slot;
          bestRank = rank;
          replaced = untilUs;
        }
      }
      if (LONGS.compareAndSet(slots, untilPosition(best), replaced, claim)) {
        return best;
      }
    }
  }

  /** Rounds a time up, so that a claim does not expire early, and adds the owner. */
  private long withOwner(long untilUs) {
    return ((untilUs + OWNER_MASK) & ~OWNER_MASK) | owner;
  }

  private static boolean isClaimed(long untilUs, long nowUs) {
    return untilUs > nowUs && untilUs - nowUs <= MAX_CLAIM_US;
  }

  private long untilUs(int slot) {
    return (long) LONGS.getVolatile(slots, untilPosition(slot));
  }

  private static int hashPosition(int slot) {
    return slot * SLOT_BYTES;
  }

  private static int untilPosition(int slot) {
    return slot * SLOT_BYTES + Long.BYTES;
  }

  /** Returns the first slot of the bucket to which a hash belongs. */
  static int bucketOf(long hash) {
    return (int) Long.remainderUnsigned(hash, BUCKETS) * SLOTS_PER_BUCKET;
  }

  /** Returns a hash that is the same in all processes and releases. */
  static long hash(String id) {
    return Hashing.farmHashFingerprint64().hashString(id, StandardCharsets.UTF_8).asLong();
  }
}

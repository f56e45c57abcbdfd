package dunlinhitch.experiments.modelchecker;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;

/**
 * A 128-bit hash of a state; a collision among a million states has a probability of 1 in 10^27.
 */
public record Digest(long high, long low) implements Comparable<Digest> {
  static Hasher newHasher() {
    return Hashing.murmur3_128().newHasher();
  }

  static Digest of(Hasher hasher) {
    ByteBuffer bytes = ByteBuffer.wrap(hasher.hash().asBytes());
    return new Digest(bytes.getLong(), bytes.getLong());
  }

  void putInto(Hasher hasher) {
    hasher.putLong(high).putLong(low);
  }

  @Override
  public int compareTo(Digest other) {
    return high != other.high ? Long.compare(high, other.high) : Long.compare(low, other.low);
  }
}

package dunlinhitch.answerkeys;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Set;

/**
 * The answer of a store for one part of a query.
 *
 * @param storeStartedMs the start time of the store, according to the endpoint list at the time of
 *     the request
 * @param generation the generation of the store's data, 0 if the store does not report it
 * @param varies the attributes by which the answer varies, as declared by the store
 * @param cacheable false if the store forbids caching of the answer
 * @param complete false if part of the answer is missing
 */
public record StoreAnswer(
    String value,
    String store,
    long storeStartedMs,
    long generation,
    Set<String> varies,
    boolean cacheable,
    boolean complete) {
  /** If {@code varies} contains this value, the answer varies by more than the named attributes. */
  public static final String VARIES_BY_ANY = "*";

  /** The estimated size of an answer without its value, in bytes. */
  private static final int OVERHEAD_BYTES = 400;

  /** Copies the set of attributes. */
  public StoreAnswer {
    varies = Set.copyOf(varies);
  }

  /**
   * Returns a digest of the value: 64 bits of its SHA-256. A cryptographic hash prevents clients
   * from causing unequal answers with equal digests.
   */
  long digest() {
    try {
      return ByteBuffer.wrap(
              MessageDigest.getInstance("SHA-256").digest(value.getBytes(StandardCharsets.UTF_8)))
          .getLong();
    } catch (NoSuchAlgorithmException exception) {
      // Every Java platform is required to support SHA-256.
      throw new IllegalStateException(exception);
    }
  }

  StoreAnswer withoutValue() {
    return new StoreAnswer("", store, storeStartedMs, generation, varies, cacheable, complete);
  }

  /** The estimated memory use of the answer in bytes. */
  long bytes() {
    return 2L * value.length() + OVERHEAD_BYTES;
  }
}

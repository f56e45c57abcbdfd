package dunlinhitch.answerkeys;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Set;

/**
 * The answer of a store for one part of a query.
 *
 * @param storeStartedMs the start of the store by the endpoint list when it was asked
 * @param generation the generation of the store's data, 0 where the store does not state it
 * @param varies the attributes by which the store says that the answer varies
 * @param cacheable false where the store forbids to cache the answer
 * @param complete false where some of the answer is missing
 */
public record StoreAnswer(
    String value,
    String store,
    long storeStartedMs,
    long generation,
    Set<String> varies,
    boolean cacheable,
    boolean complete) {
  /** In {@code varies}: the answer varies by more than the attributes that are named. */
  public static final String VARIES_BY_ANY = "*";

  /** An estimate of the bytes of an answer beside its value. */
  private static final int OVERHEAD_BYTES = 400;

  /** Copies the set of attributes. */
  public StoreAnswer {
    varies = Set.copyOf(varies);
  }

  /**
   * Equal for equal values: 64 bits of SHA-256, so that no client can construct two unequal answers
   * that look equal.
   */
  long digest() {
    try {
      return ByteBuffer.wrap(
              MessageDigest.getInstance("SHA-256").digest(value.getBytes(StandardCharsets.UTF_8)))
          .getLong();
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException(exception); // every Java platform has it
    }
  }

  StoreAnswer withoutValue() {
    return new StoreAnswer("", store, storeStartedMs, generation, varies, cacheable, complete);
  }

  /** An estimate of the memory that the answer takes. */
  long bytes() {
    return 2L * value.length() + OVERHEAD_BYTES;
  }
}

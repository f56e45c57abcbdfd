package dunlinhitch.answerkeys;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Set;

/**
 * A store's answer for one part. {@code startedMs} is the store's start as the list told it when it
 * was asked, {@code generation} that of its data, 0 where it does not tell; {@code varies} names
 * the attributes that it says the answer varies by ({@link #ALL}: by more than it names); {@code
 * keepable} is false where it says that the answer may not be kept; {@code whole} is false where
 * something of it is missing.
 */
public record Answer(
    String value,
    String store,
    long startedMs,
    long generation,
    Set<String> varies,
    boolean keepable,
    boolean whole) {
  public static final String ALL = "*";

  /** What an answer takes beside its value, roughly: the records and strings round it. */
  private static final int AROUND = 400;

  public Answer {
    varies = Set.copyOf(varies);
  }

  /**
   * Where two answers are equal: 64 bits of SHA-256, so that no client can make two unequal ones
   * look equal.
   */
  long digest() {
    try {
      return ByteBuffer.wrap(
              MessageDigest.getInstance("SHA-256").digest(value.getBytes(StandardCharsets.UTF_8)))
          .getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // each Java platform has it
    }
  }

  Answer withoutValue() {
    return new Answer("", store, startedMs, generation, varies, keepable, whole);
  }

  long bytes() {
    return 2L * value.length() + AROUND;
  }
}

package dunlinhitch.backend;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Strict UTF-8 decoder: if a decoded text is encoded again, the result is the original bytes. */
public final class ExactText {
  private ExactText() {}

  /**
   * Decodes the bytes, or returns null if they are not valid UTF-8. Invalid bytes are not replaced,
   * because replacement characters would alter the text that the store sent.
   */
  public static String of(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }
}

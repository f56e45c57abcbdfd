package dunlinhitch.backend;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Strict UTF-8 decoder: encoding the result gives the same bytes again. */
public final class ExactText {
  private ExactText() {}

  /**
   * Decodes the bytes, or returns null if they are not valid UTF-8. Replacement characters would
   * alter the text that the store sent.
   */
  public static String of(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }
}

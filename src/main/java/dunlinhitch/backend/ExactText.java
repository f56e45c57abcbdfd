package dunlinhitch.backend;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Decodes UTF-8 so that encoding the result gives the same bytes again. */
public final class ExactText {
  private ExactText() {}

  /**
   * Decodes the bytes, or returns null where they are no UTF-8: with replacement characters the
   * text would no longer be what the store sent.
   */
  public static String of(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }
}

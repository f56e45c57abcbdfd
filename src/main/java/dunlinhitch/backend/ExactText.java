package dunlinhitch.backend;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Bytes as text that gives back the same bytes. */
public final class ExactText {
  private ExactText() {}

  /**
   * Null where there is no such text: passed on with signs in place of what is no UTF-8, it were
   * not the store's.
   */
  public static String of(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }
}

package dunlinhitch.text;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Strict conversion between bytes and texts: a text that passes these checks is passed on byte for
 * byte. Java's own conversions replace what they cannot convert, in silence.
 */
public final class ExactText {
  private static final char REPLACEMENT = '\uFFFD';

  private ExactText() {}

  /**
   * Decodes the bytes, or returns null if they are not valid UTF-8. Invalid bytes are not replaced,
   * because replacement characters would alter the text that the sender meant.
   */
  public static String of(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }

  /**
   * Returns whether the text can be encoded in UTF-8. Half of a surrogate pair, which a JSON escape
   * may leave in a text, stands for no character and has no encoding.
   */
  public static boolean isEncodable(String text) {
    return StandardCharsets.UTF_8.newEncoder().canEncode(text);
  }

  /**
   * Returns whether a text that was decoded leniently is the one that was sent: it has no
   * replacement character and can be encoded.
   */
  public static boolean isUnaltered(String text) {
    return text.indexOf(REPLACEMENT) < 0 && isEncodable(text);
  }
}

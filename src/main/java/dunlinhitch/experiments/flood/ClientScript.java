package dunlinhitch.experiments.flood;

import java.nio.charset.StandardCharsets;

/**
 * What one connection of a crowd sends.
 *
 * @param opening bytes that are sent first
 * @param repeated bytes that are sent again and again after the opening; empty to stop after it
 * @param bytesPerWrite maximum number of bytes of one write
 * @param readsAnswers whether the client reads what the broker sends
 */
@SuppressWarnings("ArrayRecordComponent") // never modified or compared
public record ClientScript(
    byte[] opening, byte[] repeated, int bytesPerWrite, boolean readsAnswers) {
  /** A script that sends a text at full speed, then stops and stays. */
  public static ClientScript atOnce(String text) {
    return new ClientScript(bytes(text), new byte[0], Integer.MAX_VALUE, true);
  }

  /** A script that sends a text in small writes, then stops and stays. */
  public static ClientScript slowly(String text, int bytesPerWrite) {
    return new ClientScript(bytes(text), new byte[0], bytesPerWrite, true);
  }

  /** A script that sends a text and then repeats another one, one copy in each write. */
  public static ClientScript endlessly(String opening, String repeated) {
    return new ClientScript(bytes(opening), bytes(repeated), repeated.length(), true);
  }

  /** The same script of a client that never reads. */
  public ClientScript withoutReading() {
    return new ClientScript(opening, repeated, bytesPerWrite, false);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}

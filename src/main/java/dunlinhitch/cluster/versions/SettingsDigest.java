package dunlinhitch.cluster.versions;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A short name for what something means: equal records have equal ones, however the file that they
 * were read from was worded.
 */
public final class SettingsDigest {
  private static final int BYTES = 6;

  private SettingsDigest() {}

  /** The first 48 bits of SHA-256 of its text, in hex; a record's text names all that it holds. */
  public static String of(Record what) {
    try {
      byte[] all =
          MessageDigest.getInstance("SHA-256")
              .digest(what.toString().getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(all, 0, BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }
}

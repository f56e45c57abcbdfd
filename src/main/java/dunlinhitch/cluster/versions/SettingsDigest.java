package dunlinhitch.cluster.versions;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A short digest of parsed settings: equal records have equal digests, however the file that they
 * were read from was formatted.
 */
public final class SettingsDigest {
  private static final int DIGEST_BYTES = 6;

  private SettingsDigest() {}

  /**
   * The first 48 bits of the SHA-256 of the record's text, which contains all of its components.
   */
  public static String of(Record settings) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256")
              .digest(settings.toString().getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }
}

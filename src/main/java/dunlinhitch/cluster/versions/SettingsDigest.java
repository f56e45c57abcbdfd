package dunlinhitch.cluster.versions;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes a short digest of parsed settings. Equal settings have equal digests, regardless of the
 * formatting of the settings file. Brokers compare their digests, also if they run different
 * builds.
 */
public final class SettingsDigest {
  private static final int DIGEST_BYTES = 6;

  private SettingsDigest() {}

  /**
   * Returns the first 48 bits of the SHA-256 of the canonical text, which must contain all
   * settings.
   */
  public static String of(String canonicalSettings) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256")
              .digest(canonicalSettings.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}

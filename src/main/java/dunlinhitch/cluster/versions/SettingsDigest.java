package dunlinhitch.cluster.versions;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A short digest of parsed settings: equal settings have equal digests, regardless of the
 * formatting of their file. Brokers of different builds compare it.
 */
public final class SettingsDigest {
  private static final int DIGEST_BYTES = 6;

  private SettingsDigest() {}

  /** The first 48 bits of the SHA-256 of the canonical text, which contains all settings. */
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

package dunlinhitch.cluster.versions;

/**
 * The versions that a broker runs with.
 *
 * @param build the version of the program
 * @param settings the digest of the parsed settings, see {@link SettingsDigest}
 * @param settingsMs when the settings file was written, Unix time in milliseconds; of two versions
 *     of the settings, the one written later is newer
 * @param endpointListGeneration the generation of the endpoint list, 0 before the first list;
 *     comparable only among brokers with the same settings, because each discovery service has its
 *     own generations
 */
public record VersionVector(
    String build, String settings, long settingsMs, long endpointListGeneration) {
  /** Checks that the texts are not empty and the numbers not negative. */
  public VersionVector {
    if (build.isEmpty() || settings.isEmpty() || settingsMs < 0 || endpointListGeneration < 0) {
      throw new IllegalArgumentException(
          "build and settings must not be empty and numbers not negative: got build "
              + build
              + ", settings "
              + settings
              + ", settings time "
              + settingsMs
              + ", endpoint list generation "
              + endpointListGeneration);
    }
  }

  /** Returns a copy with the given generation of the endpoint list. */
  public VersionVector withEndpointListGeneration(long generation) {
    return new VersionVector(build, settings, settingsMs, generation);
  }

  /**
   * Returns a copy with the given settings and generation 0 of the endpoint list, because the new
   * settings may specify another discovery service.
   */
  public VersionVector withSettings(String digest, long writtenMs) {
    return new VersionVector(build, digest, writtenMs, 0);
  }
}

package dunlinhitch.cluster.versions;

/**
 * The versions that a broker acts on.
 *
 * @param build the version of the program
 * @param settings a digest of the parsed settings, see {@link SettingsDigest}
 * @param settingsMs when the settings file was written, Unix time in milliseconds; orders two
 *     digests
 * @param endpointListGeneration the generation of the endpoint list, 0 before the first; comparable
 *     only among brokers with the same settings, for those name the same discovery
 */
public record VersionVector(
    String build, String settings, long settingsMs, long endpointListGeneration) {
  /** Checks that the texts are not empty and the numbers not negative. */
  public VersionVector {
    if (build.isEmpty() || settings.isEmpty() || settingsMs < 0 || endpointListGeneration < 0) {
      throw new IllegalArgumentException(
          "versions name a build and settings and count from 0: "
              + build
              + ", "
              + settings
              + ", "
              + settingsMs
              + ", "
              + endpointListGeneration);
    }
  }

  /** The same with another generation of the endpoint list. */
  public VersionVector withEndpointListGeneration(long generation) {
    return new VersionVector(build, settings, settingsMs, generation);
  }

  /** The same build with other settings and, for their discovery may be another, no list yet. */
  public VersionVector withSettings(String digest, long writtenMs) {
    return new VersionVector(build, digest, writtenMs, 0);
  }
}

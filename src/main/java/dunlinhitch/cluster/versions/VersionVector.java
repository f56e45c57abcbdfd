package dunlinhitch.cluster.versions;

/**
 * What a broker acts on.
 *
 * @param build its program
 * @param settings a digest of the parsed settings: files that mean the same have the same one
 * @param settingsMs since when those settings are meant, Unix time in milliseconds (when the file
 *     was written); it orders two digests
 * @param roster the generation of discovery's list that it holds; 0: none yet. Comparable among
 *     brokers with the same settings, for those name the discovery that counts
 */
public record VersionVector(String build, String settings, long settingsMs, long roster) {
  public VersionVector {
    if (build.isEmpty() || settings.isEmpty() || settingsMs < 0 || roster < 0) {
      throw new IllegalArgumentException(
          "versions name a build and settings and count from 0: "
              + build
              + ", "
              + settings
              + ", "
              + settingsMs
              + ", "
              + roster);
    }
  }

  public VersionVector withRoster(long generation) {
    return new VersionVector(build, settings, settingsMs, generation);
  }

  public VersionVector withSettings(String digest, long ms) {
    return new VersionVector(
        build, digest, ms, 0); // their discovery may be another one, with numbers of its own
  }
}

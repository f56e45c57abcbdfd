package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerSettings;
import dunlinhitch.scoring.api.Scorer;
import dunlinhitch.scoring.api.ScoringApi;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceConfigurationError;
import java.util.ServiceLoader;
import java.util.stream.Stream;

/** Locates a scorer by its name, in a directory of jars or among those shipped with the broker. */
final class ScorerLocator {
  /** Digest of a scorer that is not loaded from a jar. */
  private static final String SHIPPED_DIGEST = "shipped";

  private static final int MAX_VERSION_LENGTH = 64;

  private final ScorerSettings settings;
  private LoadedScorer located;
  private LoadException firstProblem;

  private ScorerLocator(ScorerSettings settings) {
    this.settings = settings;
  }

  /**
   * Locates the scorer of the configured name. Runs code of the plug-in, so it must be called on
   * the scorer's thread.
   *
   * @throws LoadException if there is no such scorer; if a jar could not be read, the message
   *     describes the first such problem
   */
  static LoadedScorer locate(ScorerSettings settings) throws LoadException {
    return new ScorerLocator(settings).locate();
  }

  private LoadedScorer locate() throws LoadException {
    if (settings.directory() == null) {
      located = load(Scorer.class.getClassLoader(), SHIPPED_DIGEST);
    } else {
      for (Path jar : jars(settings.directory())) {
        search(jar);
      }
    }
    if (located != null) {
      return located;
    }
    if (firstProblem != null) {
      throw firstProblem;
    }
    String place =
        settings.directory() == null
            ? " is not shipped with the broker"
            : " is not in any jar in " + settings.directory();
    throw new LoadException(Failure.NOT_THERE, settings.name() + place);
  }

  private void search(Path jar) throws LoadException {
    try {
      JarClassLoader loader = new JarClassLoader(jar);
      LoadedScorer candidate = load(loader, loader.digest());
      if (candidate != null && located != null) {
        throw new LoadException(
            Failure.WILL_NOT_LOAD,
            "two jars provide the scorer, one of them is " + jar.getFileName());
      }
      located = candidate == null ? located : candidate;
    } catch (IOException e) {
      if (firstProblem == null) {
        firstProblem = new LoadException(Failure.WILL_NOT_LOAD, e.getMessage());
      }
    } catch (ServiceConfigurationError | LinkageError e) {
      if (firstProblem == null) {
        firstProblem = new LoadException(Failure.WILL_NOT_LOAD, jar.getFileName() + ": " + e);
      }
    }
  }

  private static List<Path> jars(Path directory) throws LoadException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.toString().endsWith(".jar")).sorted().toList();
    } catch (IOException e) {
      throw new LoadException(Failure.NOT_THERE, "the directory " + directory + " cannot be read");
    }
  }

  private LoadedScorer load(ClassLoader loader, String digest) throws LoadException {
    for (Scorer scorer : ServiceLoader.load(Scorer.class, loader)) {
      if (settings.name().equals(scorer.name())) {
        checkApi(scorer.api());
        String version = scorer.version();
        checkVersion(version);
        return new LoadedScorer(scorer, settings.identity(version), digest);
      }
    }
    return null;
  }

  private static void checkApi(int api) throws LoadException {
    if (api < 1 || api > ScoringApi.VERSION) {
      throw new LoadException(
          Failure.LATER_API,
          "the scorer requires interface version "
              + api
              + ", but this broker supports version "
              + ScoringApi.VERSION);
    }
  }

  private static void checkVersion(String version) throws LoadException {
    if (version == null || version.isEmpty() || version.length() > MAX_VERSION_LENGTH) {
      throw new LoadException(
          Failure.WILL_NOT_LOAD,
          "the version of the scorer must have 1 to " + MAX_VERSION_LENGTH + " characters");
    }
  }
}

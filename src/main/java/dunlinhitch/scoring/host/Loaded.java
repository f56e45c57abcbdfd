package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
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

/** A scorer that was found, who it is, and what its jar held. */
record Loaded(Scorer scorer, ScorerIdentity identity, String digest) {
  private static final String SHIPPED = "shipped";
  private static final int MOST_VERSION = 64;

  /**
   * Finds the scorer of that name; of jars that are of no use the first reason is told where none
   * has it. Runs the plug-in's code.
   */
  static Loaded find(ScorerSettings settings) throws LoadException {
    Loaded found = null;
    LoadException wrong = null;
    if (settings.directory() == null) {
      found = in(Scorer.class.getClassLoader(), SHIPPED, settings);
    } else {
      for (Path jar : jars(settings.directory())) {
        try {
          JarLoader loader = new JarLoader(jar);
          Loaded one = in(loader, loader.digest(), settings);
          if (one != null && found != null) {
            throw new LoadException(
                Failure.WILL_NOT_LOAD, "two jars offer it, one of them " + jar.getFileName());
          }
          found = one == null ? found : one;
        } catch (IOException e) {
          wrong = wrong != null ? wrong : new LoadException(Failure.WILL_NOT_LOAD, e.getMessage());
        } catch (ServiceConfigurationError | LinkageError e) {
          wrong =
              wrong != null
                  ? wrong
                  : new LoadException(Failure.WILL_NOT_LOAD, jar.getFileName() + ": " + e);
        }
      }
    }
    if (found == null) {
      throw wrong != null
          ? wrong
          : new LoadException(
              Failure.NOT_THERE,
              settings.name()
                  + (settings.directory() == null
                      ? " does not ship"
                      : " is in no jar of " + settings.directory()));
    }
    return found;
  }

  private static List<Path> jars(Path directory) throws LoadException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.toString().endsWith(".jar")).sorted().toList();
    } catch (IOException e) {
      throw new LoadException(Failure.NOT_THERE, "the directory " + directory + " can not be read");
    }
  }

  private static Loaded in(ClassLoader loader, String digest, ScorerSettings settings)
      throws LoadException {
    for (Scorer scorer : ServiceLoader.load(Scorer.class, loader)) {
      if (settings.name().equals(scorer.name())) {
        int api = scorer.api();
        if (api < 1 || api > ScoringApi.VERSION) {
          throw new LoadException(
              Failure.LATER_API,
              "it asks for version " + api + ", this broker has " + ScoringApi.VERSION);
        }
        String version = scorer.version();
        if (version == null || version.isEmpty() || version.length() > MOST_VERSION) {
          throw new LoadException(
              Failure.WILL_NOT_LOAD,
              "its version is no text of 1 to " + MOST_VERSION + " characters");
        }
        return new Loaded(scorer, settings.identity(version), digest);
      }
    }
    return null;
  }
}

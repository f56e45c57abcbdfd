package dunlinhitch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Dependencies point inward: what each package may import of the project, and that the core knows
 * no wire.
 */
class PackagesTest {
  private static final Path ROOT = Path.of("src/main/java/dunlinhitch");
  private static final Pattern IMPORT =
      Pattern.compile("^import (?:static )?([a-z.]+)\\.[A-Z]", Pattern.MULTILINE);

  /**
   * For each package, the packages of the project that it may import; one that is not named here
   * belongs to the one above it.
   */
  private static final Map<String, Set<String>> ALLOWED =
      Map.ofEntries(
          Map.entry("balancer", Set.of("balancer")),
          Map.entry("endpoints", Set.of("endpoints", "balancer")),
          Map.entry("config/syntax", Set.of("config/syntax")),
          Map.entry("twophase", Set.of("twophase")),
          Map.entry("cluster/versions", Set.of("cluster/versions")),
          Map.entry("cluster", Set.of("cluster", "cluster/versions")),
          Map.entry("answerkeys", Set.of("answerkeys", "cluster")),
          Map.entry("scoring", Set.of("scoring", "cluster")),
          Map.entry(
              "core",
              Set.of("core", "endpoints", "twophase", "cluster", "cluster/versions", "balancer")),
          Map.entry("config", Set.of("config", "config/syntax", "balancer")),
          Map.entry("concurrent", Set.of("concurrent")),
          Map.entry("frontend", Set.of("frontend", "core", "balancer", "concurrent")),
          Map.entry("admin", Set.of("admin", "core", "balancer")),
          Map.entry("backend", Set.of("backend", "core", "endpoints", "balancer", "concurrent")),
          Map.entry("discovery", Set.of("discovery", "core", "endpoints", "balancer")),
          Map.entry(
              "cluster/gossip", Set.of("cluster/gossip", "core", "cluster", "cluster/versions")),
          Map.entry("simulator", Set.of("simulator", "config", "balancer")));

  /** Packages that import nothing but the JDK and the project itself. */
  private static final Set<String> WITHOUT_LIBRARIES =
      Set.of("core", "balancer", "endpoints", "answerkeys");

  @Test
  void dependenciesPointInward() throws IOException {
    Map<String, String> wrong = new TreeMap<>();
    for (Path file : sources(ROOT)) {
      String room = roomOf(ROOT.relativize(file.getParent()).toString());
      if (room == null) {
        continue; // wiring, commands and experiments may import any
      }
      Matcher matcher = IMPORT.matcher(Files.readString(file));
      while (matcher.find()) {
        String name = matcher.group(1);
        if (name.startsWith("dunlinhitch.")) {
          String imported = roomOf(name.substring("dunlinhitch.".length()).replace('.', '/'));
          if (imported == null || !ALLOWED.get(room).contains(imported)) {
            wrong.put(file.toString(), name);
          }
        } else if (WITHOUT_LIBRARIES.contains(room) && !name.startsWith("java.")) {
          wrong.put(file.toString(), name);
        }
      }
    }
    assertEquals(Map.of(), wrong);
  }

  @Test
  void everyPackageWithRulesHasSources() throws IOException {
    for (String room : ALLOWED.keySet()) {
      assertFalse(sources(ROOT.resolve(room)).isEmpty(), room);
    }
  }

  private static String roomOf(String packagePath) {
    for (String path = packagePath; !path.isEmpty(); path = parentOf(path)) {
      if (ALLOWED.containsKey(path)) {
        return path;
      }
    }
    return null;
  }

  private static String parentOf(String path) {
    int slash = path.lastIndexOf('/');
    return slash < 0 ? "" : path.substring(0, slash);
  }

  /**
   * A plug-in's classes are built against the interface alone: so is the interface, and so are the
   * scorers that ship.
   */
  @Test
  void theInterfaceOfScorersStandsAlone() throws IOException {
    Map<String, String> wrong = new TreeMap<>();
    for (String part : List.of("scoring/api", "scoring/shipped")) {
      for (Path file : sources(ROOT.resolve(part))) {
        Matcher matcher = IMPORT.matcher(Files.readString(file));
        while (matcher.find()) {
          if (!matcher.group(1).startsWith("java.")
              && !matcher.group(1).equals("dunlinhitch.scoring.api")) {
            wrong.put(file.toString(), matcher.group(1));
          }
        }
      }
    }
    assertEquals(Map.of(), wrong);
  }

  /** What measures and stands in is no part of what serves. */
  @Test
  void nothingThatServesKnowsTheLab() throws IOException {
    List<Path> wrong = new java.util.ArrayList<>();
    for (Path file : sources(ROOT)) {
      if (!file.startsWith(ROOT.resolve("experiments"))
          && Files.readString(file).contains("import dunlinhitch.experiments")) {
        wrong.add(file);
      }
    }
    assertEquals(List.of(), wrong);
  }

  /**
   * What decides, and what plays days, has no clock, thread or chance but those that it is given.
   */
  @Test
  void decisionsHaveNoClockOfTheirOwn() throws IOException {
    Pattern clock =
        Pattern.compile(
            "System\\.(nanoTime|currentTimeMillis)|Math\\.random|new Random\\(\\)|new Thread|Instant\\.now");
    Map<String, String> wrong = new TreeMap<>();
    for (String part :
        List.of(
            "balancer",
            "core",
            "endpoints",
            "twophase",
            "cluster",
            "cluster/versions",
            "concurrent",
            "answerkeys",
            "scoring",
            "experiments/simulation",
            "experiments/modelchecker")) {
      for (Path file : sources(ROOT.resolve(part))) {
        Matcher matcher = clock.matcher(Files.readString(file));
        boolean mayLook =
            file.startsWith(ROOT.resolve("scoring/host"))
                || file.endsWith("MicroClock.java")
                || file.endsWith("SimulationCommands.java")
                || file.endsWith(
                    "ExploreCommand.java"); // threads of plug-ins, the edge's own clock, progress
        // lines
        if (!mayLook && matcher.find()) {
          wrong.put(file.toString(), matcher.group());
        }
      }
    }
    assertEquals(Map.of(), wrong);
  }

  private static List<Path> sources(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(f -> f.toString().endsWith(".java")).toList();
    }
  }
}

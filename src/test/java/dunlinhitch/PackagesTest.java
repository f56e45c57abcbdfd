package dunlinhitch;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
  private static final Map<String, Set<String>> MAY =
      Map.ofEntries(
          Map.entry("decide", Set.of("decide")),
          Map.entry("membership", Set.of("membership", "decide")),
          Map.entry("conf", Set.of("conf")),
          Map.entry("phases", Set.of("phases")),
          Map.entry("audit", Set.of("audit")),
          Map.entry("fleet", Set.of("fleet", "audit")),
          Map.entry("keys", Set.of("keys", "fleet")),
          Map.entry("scoring", Set.of("scoring", "fleet")),
          Map.entry("core", Set.of("core", "membership", "phases", "fleet", "audit", "decide")),
          Map.entry("config", Set.of("config", "conf", "decide")),
          Map.entry("handover", Set.of("handover")),
          Map.entry("intake", Set.of("intake", "core", "decide", "handover")),
          Map.entry("admin", Set.of("admin", "core", "decide")),
          Map.entry("dispatch", Set.of("dispatch", "core", "membership", "decide", "handover")),
          Map.entry("roster", Set.of("roster", "core", "membership", "decide")),
          Map.entry("peers", Set.of("peers", "core", "fleet", "audit")),
          Map.entry("wire", Set.of("wire", "config", "decide")));

  @Test
  void dependenciesPointInward() throws IOException {
    Map<String, String> wrong = new TreeMap<>();
    for (Map.Entry<String, Set<String>> entry : MAY.entrySet()) {
      for (Path file : sources(ROOT.resolve(entry.getKey()))) {
        Matcher m = IMPORT.matcher(Files.readString(file));
        while (m.find()) {
          String name = m.group(1);
          boolean own = name.startsWith("dunlinhitch");
          boolean bare =
              Set.of("core", "decide", "membership", "keys").contains(entry.getKey())
                  && !name.startsWith("java.");
          if (own && !entry.getValue().contains((name + "..").split("\\.")[1]) || !own && bare) {
            wrong.put(file.toString(), name);
          }
        }
      }
    }
    assertEquals(Map.of(), wrong);
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
        Matcher m = IMPORT.matcher(Files.readString(file));
        while (m.find()) {
          if (!m.group(1).startsWith("java.") && !m.group(1).equals("dunlinhitch.scoring.api")) {
            wrong.put(file.toString(), m.group(1));
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
      if (!file.startsWith(ROOT.resolve("lab"))
          && Files.readString(file).contains("import dunlinhitch.lab")) {
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
            "decide",
            "core",
            "membership",
            "phases",
            "fleet",
            "audit",
            "handover",
            "keys",
            "scoring",
            "lab/sim",
            "lab/explore")) {
      for (Path file : sources(ROOT.resolve(part))) {
        Matcher m = clock.matcher(Files.readString(file));
        boolean mayLook =
            file.startsWith(ROOT.resolve("scoring/host"))
                || file.endsWith("MicroClock.java")
                || file.endsWith("SimCommands.java")
                || file.endsWith(
                    "ExploreCommand.java"); // threads of plug-ins, the edge's own clock, progress
        // lines
        if (!mayLook && m.find()) {
          wrong.put(file.toString(), m.group());
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

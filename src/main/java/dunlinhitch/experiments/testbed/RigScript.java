package dunlinhitch.experiments.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What happens to a rig, a line each, in any order; {@code #} begins a comment. Names are brokers
 * (n0), stores (s0-1) and discovery (d):
 *
 * <pre>
 * at 2s..7s cut n2 n3            nothing passes between these and all others, either way
 * at 2s..7s alone n2             nothing passes between it and other brokers
 * at 2s..7s mute n1 s0-0         nothing passes from the one to the other; the way back is open
 * at 2s..7s lose n1 n2 30%       of what passes between the two, either way (words; a stream falls silent)
 * at 2s..7s late n1 s0-0 200ms   what passes between the two, either way
 * at 2s..7s slow n1 s0-0 5ms     in pieces of 7 bytes, so far apart
 * at 4s reset n1                 its connections
 * at 4s kill n1                  SIGKILL
 * at 4s end n1                   SIGTERM
 * at 9s start n1                 with nothing known
 * </pre>
 */
public final class RigScript {
  private static final int MOST_LINES = 200;
  private static final long MOST_MS = 120_000;
  private static final Pattern LINE =
      Pattern.compile("at (\\d+(?:ms|s))(?:\\.\\.(\\d+(?:ms|s)))? (\\w+) (.+)");

  /** One line; {@code toMs} 0: it has no end. */
  record Trouble(
      long fromMs, long toMs, String what, List<String> who, int ms, double share, String text) {}

  private static final Map<String, Integer> LASTING =
      Map.of("cut", -1, "alone", 1, "mute", 2, "lose", 2, "late", 2, "slow", 2);
  private static final List<String> AT_ONCE = List.of("reset", "kill", "end", "start");
  private final List<Trouble> troubles;

  private RigScript(List<Trouble> troubles) {
    this.troubles = troubles;
  }

  /**
   * Throws an IllegalArgumentException that names the place and the remedy; {@code names}: what
   * there is in the rig.
   */
  public static RigScript read(String place, List<String> lines, List<String> names) {
    List<Trouble> troubles = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).replaceAll("#.*", "").trim();
      if (!line.isEmpty()) {
        try {
          troubles.add(trouble(line, names));
        } catch (IllegalArgumentException e) {
          throw new IllegalArgumentException(
              place + ":" + (i + 1) + ": " + line + ": " + e.getMessage());
        }
      }
    }
    if (troubles.size() > MOST_LINES) {
      throw new IllegalArgumentException(
          place + ": over " + MOST_LINES + " troubles; play fewer at a time");
    }
    return new RigScript(troubles);
  }

  /**
   * Two to five troubles over so many seconds, each of them over before the end, and every broker
   * up then.
   */
  public static RigScript drawn(long seed, int seconds, List<String> brokers, List<String> stores) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> lines = new ArrayList<>();
    int many = 2 + random.nextInt(4);
    for (int i = 0; i < many; i++) {
      int from = 1 + random.nextInt(Math.max(1, seconds / 2));
      int to = Math.min(seconds - 1, from + 1 + random.nextInt(6));
      String broker = brokers.get(random.nextInt(brokers.size()));
      String store = stores.get(random.nextInt(stores.size()));
      String span = "at " + from + "s.." + Math.max(from + 1, to) + "s ";
      switch (random.nextInt(7)) {
        case 0 -> lines.add(span + "alone " + broker);
        case 1 -> lines.add(span + "mute " + store + " " + broker);
        case 2 -> lines.add(span + "mute " + broker + " " + store);
        case 3 ->
            lines.add(
                span + "late " + broker + " " + store + " " + (50 + random.nextInt(300)) + "ms");
        case 4 ->
            lines.add(span + "slow " + broker + " " + store + " " + (1 + random.nextInt(4)) + "ms");
        case 5 -> lines.add("at " + from + "s reset " + broker);
        default -> {
          lines.add("at " + from + "s kill " + broker);
          lines.add("at " + (from + 1) + "s start " + broker);
        }
      }
    }
    List<String> names = new ArrayList<>(brokers);
    names.addAll(stores);
    return read("seed " + seed, lines, names);
  }

  private static Trouble trouble(String line, List<String> names) {
    Matcher m = LINE.matcher(line);
    if (!m.matches()) {
      throw new IllegalArgumentException(
          "a line is: at TIME[..TIME] WHAT WHO..., times as 1500ms or 3s");
    }
    long from = ms(m.group(1));
    long to = m.group(2) == null ? 0 : ms(m.group(2));
    String what = m.group(3);
    List<String> who = new ArrayList<>(List.of(m.group(4).split(" +")));
    boolean lasts = LASTING.containsKey(what);
    if (!lasts && !AT_ONCE.contains(what)) {
      throw new IllegalArgumentException(
          "no such trouble: "
              + what
              + "; there is "
              + String.join(", ", LASTING.keySet().stream().sorted().toList())
              + ", "
              + String.join(", ", AT_ONCE));
    }
    if (lasts != (m.group(2) != null)) {
      throw new IllegalArgumentException(
          what + (lasts ? " has an end: at TIME..TIME" : " has no end: at TIME"));
    }
    int ms = 0;
    double share = 1;
    String last = who.get(who.size() - 1);
    if (what.equals("lose")) {
      share = percent(last);
      who.remove(who.size() - 1);
    } else if (what.equals("late") || what.equals("slow")) {
      ms = (int) ms(last);
      who.remove(who.size() - 1);
    }
    int wanted = lasts ? LASTING.get(what) : 1;
    if ((wanted >= 0 && who.size() != wanted) || who.isEmpty()) {
      throw new IllegalArgumentException(
          what + " names " + (wanted < 0 ? "one or more" : wanted + "") + " of the rig");
    }
    for (String name : who) {
      if (!names.contains(name)) {
        throw new IllegalArgumentException(
            "there is no " + name + "; there is " + String.join(" ", names));
      }
      if (!lasts && !name.startsWith("n")) {
        throw new IllegalArgumentException(
            "only a broker can " + what + ", and " + name + " is none");
      }
    }
    if ((lasts && to <= from) || Math.max(from, to) > MOST_MS) {
      throw new IllegalArgumentException(
          "it ends after it begins, within " + MOST_MS / 1000 + " s");
    }
    return new Trouble(from, to, what, List.copyOf(who), ms, share, line);
  }

  private static long ms(String text) {
    if (!text.matches("\\d{1,9}(ms|s)")) {
      throw new IllegalArgumentException("a time is 200ms or 3s, not " + text);
    }
    return text.endsWith("ms")
        ? Long.parseLong(text.substring(0, text.length() - 2))
        : 1000 * Long.parseLong(text.substring(0, text.length() - 1));
  }

  private static double percent(String text) {
    if (!text.matches("\\d{1,2}%|100%")) {
      throw new IllegalArgumentException("a share is 0% to 100%, not " + text);
    }
    return Integer.parseInt(text.substring(0, text.length() - 1)) / 100.0;
  }

  /** As it would be written. */
  public List<String> lines() {
    return troubles.stream().map(Trouble::text).toList();
  }

  /** The last moment at which something begins or ends. */
  public long lastMs() {
    return troubles.stream().mapToLong(t -> Math.max(t.fromMs(), t.toMs())).max().orElse(0);
  }

  /** Plays it from now on, in real time; {@code told} gets a line for each thing done. */
  public void play(Rig rig, Consumer<String> told) throws Exception {
    record Step(long atMs, String text, Doing doing) {}

    List<Step> steps = new ArrayList<>();
    for (Trouble t : troubles) {
      if (LASTING.containsKey(t.what())) {
        Links.Rule[] rule = {null};
        steps.add(
            new Step(
                t.fromMs(),
                t.text(),
                () -> rule[0] = rig.links.add(between(t), harm(t), t.ms(), t.share())));
        steps.add(
            new Step(
                t.toMs(),
                "over: " + t.text(),
                () -> {
                  rig.links.remove(rule[0]);
                  for (Rig.Node node :
                      rig.nodes()) { // what fell silent meanwhile is reset, as by a link that is
                    // back
                    if (t.who().contains(node.name) || t.what().equals("cut")) {
                      rig.resetSilent(node);
                    }
                  }
                }));
      } else {
        Rig.Node node =
            rig.nodes().stream()
                .filter(n -> n.name.equals(t.who().get(0)))
                .findFirst()
                .orElseThrow();
        steps.add(
            new Step(
                t.fromMs(),
                t.text(),
                () -> {
                  switch (t.what()) {
                    case "reset" -> rig.reset(node);
                    case "kill" -> {
                      if (node.isUp()) {
                        node.kill();
                      }
                    }
                    case "end" -> {
                      if (node.isUp()) {
                        node.terminate();
                      }
                    }
                    default -> {
                      if (!node.isUp()) {
                        node.start();
                      }
                    }
                  }
                }));
      }
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    long from = System.nanoTime();
    for (Step step : steps) {
      long wait = step.atMs() - (System.nanoTime() - from) / 1_000_000;
      TimeUnit.MILLISECONDS.sleep(Math.max(0, wait));
      told.accept(
          String.format(Locale.ROOT, "%6.2f s  %s", (System.nanoTime() - from) / 1e9, step.text()));
      step.doing().run();
    }
  }

  private interface Doing {
    void run() throws Exception;
  }

  private static Links.Harm harm(Trouble t) {
    return t.what().equals("late")
        ? Links.Harm.LATE
        : t.what().equals("slow") ? Links.Harm.SLOW : Links.Harm.LOST;
  }

  private static BiPredicate<String, String> between(Trouble t) {
    List<String> who = t.who();
    return switch (t.what()) {
      case "cut" -> (from, to) -> who.contains(from) != who.contains(to);
      case "alone" ->
          (from, to) ->
              from.startsWith("n") && to.startsWith("n") && who.contains(from) != who.contains(to);
      case "mute" -> (from, to) -> from.equals(who.get(0)) && to.equals(who.get(1));
      default -> (from, to) -> who.contains(from) && who.contains(to);
    };
  }
}

package dunlinhitch.experiments.answerkeys;

import dunlinhitch.answerkeys.Act;
import dunlinhitch.answerkeys.Answer;
import dunlinhitch.answerkeys.AnswerKeyModule;
import dunlinhitch.answerkeys.Ask;
import dunlinhitch.answerkeys.ClassKeys;
import dunlinhitch.answerkeys.Evidence;
import dunlinhitch.answerkeys.Held;
import dunlinhitch.answerkeys.KeySettings;
import dunlinhitch.answerkeys.Rewrite;
import dunlinhitch.answerkeys.Rule;
import dunlinhitch.answerkeys.RuleSet;
import dunlinhitch.answerkeys.RuleState;
import dunlinhitch.answerkeys.SimpleShelf;
import dunlinhitch.cluster.ReplicatedEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Brokers with answer keys before stores, on virtual time: four client kinds write the same wishes
 * differently, the wishes are Zipf's. It knows what each answer ought to be, so it counts wrong
 * ones. Rule {@code forms} is true; {@code language} is true until the stores' answers come to
 * depend on the language, where that is asked for.
 */
public final class KeysWorld {
  /** What is shared: nothing, answers of equal texts, answers by rules. */
  public enum Mode {
    NONE,
    EXACT,
    RULES
  }

  /**
   * {@code loss} of words, {@code failing} of fetches; {@code cut}: two halves for 10 s; {@code
   * turnsFalse}: at 24 s, while they are cut.
   */
  public record Setup(
      long seed,
      int brokers,
      Mode mode,
      double perSecond,
      double loss,
      double failing,
      boolean cut,
      boolean turnsFalse) {}

  /**
   * {@code again}: leads for a wish within the age of the one before, of the same data; {@code
   * wrong} and {@code old}: answers of another wish or language, and from data that had gone for
   * longer than the age; {@code unended}: queries that did not end, or twice, or late; {@code
   * mayBeWrong}: the bound; {@code restedUs}: from the change until the rule was at rest
   * everywhere.
   */
  public record Result(
      long asks,
      long fetches,
      long trials,
      long again,
      long wrong,
      long old,
      long unended,
      double mayBeWrong,
      long restedUs,
      long p50Us,
      long p99Us,
      String states) {}

  private static final long SECOND_US = 1_000_000;
  private static final long COUNTED_FROM_US = 15 * SECOND_US;
  private static final long END_US = 40 * SECOND_US;
  private static final long CUT_US = 20 * SECOND_US;
  private static final long HEALED_US = 30 * SECOND_US;
  private static final long FALSE_US = 24 * SECOND_US;
  private static final long SETTLE_US = 2 * SECOND_US;
  private static final long LOOK_US = 200_000;
  private static final long AGE_US = 3 * SECOND_US;
  private static final long DEADLINE_US = 3 * SECOND_US;
  private static final long HOME_WAIT_US = 150_000;
  private static final int SHARDS = 12;
  private static final int WISHES = 200;
  private static final double ZIPF = 1.1;
  private static final double ARABIC = 0.25;
  private static final long MOST_TAKES_US = 60_000;

  /**
   * Mean times between changes of a shard's data, where its stores tell the generation and where
   * they do not.
   */
  private static final double TOLD_CHANGE_S = 5;

  private static final double UNTOLD_CHANGE_S = 60;

  /** The bound is held but for one case in so many. */
  private static final double CHANCE = 1000;

  private static final String[] KINDS = {"phone", "kiosk", "planner", "old"};

  private record At(long us, long number, Runnable what) {}

  /** One query: what it wishes and how it came; {@code ended} counts its ends. */
  private static final class Query {
    private Node node;
    private Ask ask;
    private int wish;
    private long atUs;
    private int ended;
  }

  private final class Node {
    private final String name;
    private final int half;
    private final AnswerKeyModule keys;
    private final Map<Long, Query> open = new HashMap<>();
    private final Map<String, Long> toldTo = new HashMap<>();
    private long wakesUs = Long.MAX_VALUE;

    Node(int number) {
      name = "n" + number;
      half = number % 2;
      List<Rule> rules = setup.mode() == Mode.RULES ? RULES : List.of();
      keys =
          new AnswerKeyModule(
              new RuleSet(List.of(CLASS), rules),
              SETTINGS,
              name,
              new SplittableRandom(setup.seed() * 1000 + number),
              new SimpleShelf<>(SETTINGS.mostBytes()));
    }

    void act(List<Act> acts) {
      acts.forEach(this::act);
      long next = Math.max(nowUs + 1, keys.nextUs(nowUs));
      if (next < wakesUs) {
        wakesUs = next;
        at(
            next,
            () -> {
              if (wakesUs == next) {
                wakesUs = Long.MAX_VALUE;
                act(keys.passed(nowUs));
              }
            });
      }
    }

    private void act(Act act) {
      if (act instanceof Act.Alone alone) {
        fetch(this, alone.query(), 0);
      } else if (act instanceof Act.Fetch fetch) {
        lead(open.get(fetch.query()));
        if (!fetch.takesOver()) {
          fetch(this, fetch.query(), fetch.flight());
        }
      } else if (act instanceof Act.Give give) {
        given(open.get(give.query()), give.held());
      } else if (act instanceof Act.End end) {
        end(open.get(end.query()));
      } else if (act instanceof Act.AskHome ask) {
        send(
            this,
            ask.home(),
            to ->
                to.keys.peerAsked(nowUs, name, ask.flight(), ask.key(), ask.ask(), ask.untilUs()));
      } else if (act instanceof Act.TellHome tell) {
        send(this, tell.home(), to -> to.keys.peerTold(nowUs, name, tell.key(), tell.held()));
      } else if (act instanceof Act.TellPeer tell) {
        send(
            this,
            tell.peer(),
            to ->
                to.keys.homeSaid(nowUs, name, tell.flight(), tell.key(), tell.said(), tell.held()));
      } else if (act instanceof Act.Spread) {
        gossip(3);
      }
    }

    /** Tells some others what they may not know. */
    void gossip(int many) {
      for (int i = 0; i < many; i++) {
        Node other = nodes.get(random.nextInt(nodes.size()));
        long version = keys.lives().facts().version();
        for (ReplicatedEntry<Rule.Life, Evidence> fact :
            keys.lives().facts().since(toldTo.getOrDefault(other.name, 0L), 30)) {
          send(this, other.name, to -> to.keys.heard(nowUs, fact));
        }
        toldTo.put(
            other.name,
            random.nextDouble() < setup.loss() * 2
                ? 0L
                : version); // a digest would find what was lost
      }
    }
  }

  /** What a broker does with a word. */
  private interface Word {
    List<Act> heardBy(Node to);
  }

  private static final ClassKeys CLASS =
      new ClassKeys(
          "free-search",
          List.of("client", "language"),
          true,
          AGE_US,
          HOME_WAIT_US,
          1_200_000,
          "model");
  private static final KeySettings SETTINGS = KeySettings.STANDARD;
  private static final List<Rule> RULES =
      List.of(
          new Rule(
              "forms",
              "free-search",
              1,
              List.of(
                  new Rewrite.DropVariant("client"),
                  new Rewrite.FoldCase(),
                  new Rewrite.FoldSpaces(),
                  new Rewrite.DropTerms(',', Set.of("app", "v1")),
                  new Rewrite.SortTerms(',')),
              "model"),
          new Rule(
              "language", "free-search", 1, List.of(new Rewrite.DropVariant("language")), "model"));

  private final Setup setup;
  private final SplittableRandom random;
  private final PriorityQueue<At> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.us() != b.us()
                  ? Long.compare(a.us(), b.us())
                  : Long.compare(a.number(), b.number()));
  private final List<Node> nodes = new ArrayList<>();
  private final double[] zipf = new double[WISHES];

  /** For each shard when each of its generations ended. */
  private final List<List<Long>> ends = new ArrayList<>();

  private final Map<String, long[]> lastLead = new HashMap<>();
  private final Histogram took = new Histogram(60 * SECOND_US, 3);
  private long nowUs;
  private long number;
  private boolean cutNow;
  private boolean dependsNow;
  private long asks;
  private long fetches;
  private long again;
  private long wrong;
  private long old;
  private long ended;
  private long begun;
  private long late;
  private long acrossLanguages;
  private long trialsBefore;
  private long restedUs = -1;

  public KeysWorld(Setup setup) {
    this.setup = setup;
    random = new SplittableRandom(setup.seed());
    double sum = 0;
    for (int i = 0; i < WISHES; i++) {
      sum += Math.pow(i + 1, -ZIPF);
      zipf[i] = sum;
    }
    for (int shard = 0; shard < SHARDS; shard++) {
      ends.add(new ArrayList<>());
    }
  }

  private void at(long us, Runnable what) {
    queue.add(new At(us, ++number, what));
  }

  private long after(double meanUs) {
    return nowUs + 1 + (long) (-Math.log(1 - random.nextDouble()) * meanUs);
  }

  public Result play() {
    for (int i = 0; i < setup.brokers(); i++) {
      nodes.add(new Node(i));
    }
    for (Node node : nodes) {
      for (int shard = 0; shard < SHARDS; shard++) {
        node.keys.listed("s" + shard + "-0", 0);
        node.keys.listed("s" + shard + "-1", 0);
      }
      at(random.nextLong(LOOK_US), () -> look(node));
    }
    settle(false);
    for (int shard = 0; shard < SHARDS; shard++) {
      change(shard);
    }
    if (setup.cut()) {
      at(CUT_US, () -> cutNow = true);
      at(CUT_US + SETTLE_US, () -> settle(true));
      at(HEALED_US, () -> cutNow = false);
      at(HEALED_US + SETTLE_US, () -> settle(false));
    }
    if (setup.turnsFalse()) {
      at(FALSE_US, this::turnFalse);
    }
    at(COUNTED_FROM_US, () -> trialsBefore = trials());
    at(after(SECOND_US / setup.perSecond()), this::ask);
    while (!queue.isEmpty()) {
      At next = queue.poll();
      if (next.us() > END_US + 2 * DEADLINE_US) {
        break;
      }
      nowUs = next.us();
      next.what().run();
    }
    double across = acrossLanguages / ((FALSE_US - COUNTED_FROM_US) / 1e6);
    return new Result(
        asks,
        fetches,
        trials() - trialsBefore,
        again,
        wrong,
        old,
        begun - ended + late,
        mayBeWrong(across),
        restedUs,
        took.getValueAtPercentile(50),
        took.getValueAtPercentile(99),
        states());
  }

  /**
   * docs/answer-keys.md has it: for each side the trials until one finds it, and what is given
   * until all have heard of it.
   */
  private double mayBeWrong(double acrossASecond) {
    int sides = setup.cut() ? 2 : 1;
    double verdicts = 0.5 * Math.exp(-AGE_US / 1e6 / TOLD_CHANGE_S);
    double settleS = (Math.ceil(Math.log(setup.brokers()) / Math.log(2)) + 2) * LOOK_US / 1e6;
    return sides * Math.log(CHANCE) / (SETTINGS.share() * verdicts)
        + acrossASecond * (settleS + MOST_TAKES_US / 1e6);
  }

  private long trials() {
    return nodes.stream()
        .mapToLong(node -> node.keys.counts().getOrDefault(AnswerKeyModule.Count.TRIALS, 0L))
        .sum();
  }

  private String states() {
    Map<String, Integer> states = new TreeMap<>();
    nodes.forEach(
        node ->
            node.keys
                .lives()
                .shown()
                .forEach(
                    shown ->
                        states.merge(
                            shown.life().rule()
                                + " "
                                + shown.state().name().toLowerCase(Locale.ROOT),
                            1,
                            Integer::sum)));
    return states.toString();
  }

  private void settle(boolean halves) {
    for (Node node : nodes) {
      List<String> members =
          nodes.stream()
              .filter(other -> !halves || other.half == node.half)
              .map(other -> other.name)
              .toList();
      node.act(node.keys.settled(nowUs, members));
    }
  }

  private void look(Node node) {
    node.gossip(2);
    if (setup.turnsFalse()
        && nowUs > FALSE_US
        && restedUs < 0
        && nodes.stream()
            .allMatch(
                n ->
                    n.keys.lives().shown().stream()
                        .anyMatch(
                            s ->
                                s.life().rule().equals("language")
                                    && (s.state() == RuleState.SUSPECT
                                        || s.state() == RuleState.WITHDRAWN)))) {
      restedUs = nowUs - FALSE_US;
    }
    if (nowUs < END_US) {
      at(nowUs + LOOK_US, () -> look(node));
    }
  }

  private static boolean tells(int shard) {
    return shard % 2 == 0;
  }

  private int generation(int shard) {
    return ends.get(shard).size() + 1;
  }

  private void change(int shard) {
    at(
        after((tells(shard) ? TOLD_CHANGE_S : UNTOLD_CHANGE_S) * SECOND_US),
        () -> {
          ends.get(shard).add(nowUs);
          change(shard);
        });
  }

  /** A release of the stores: answers depend on the language now, and all data are new. */
  private void turnFalse() {
    dependsNow = true;
    ends.forEach(ofShard -> ofShard.add(nowUs));
  }

  private void send(Node from, String name, Word word) {
    Node to = nodes.get(Integer.parseInt(name.substring(1)));
    int copies =
        random.nextDouble() < setup.loss() ? 0 : random.nextDouble() < setup.loss() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      at(
          nowUs + 1000 + random.nextLong(2000),
          () -> {
            if (!cutNow || from.half == to.half) {
              to.act(word.heardBy(to));
            }
          });
    }
  }

  // ---- queries

  private void ask() {
    Query q = new Query();
    q.node = nodes.get(random.nextInt(nodes.size()));
    double draw = random.nextDouble() * zipf[WISHES - 1];
    while (zipf[q.wish] < draw) {
      q.wish++;
    }
    String kind = KINDS[random.nextInt(KINDS.length)];
    String language = random.nextDouble() < ARABIC ? "ar" : "en";
    q.ask =
        new Ask(
            "free-search",
            "",
            random.nextInt(SHARDS),
            text(q.wish, kind),
            Map.of("client", kind, "language", language),
            kind,
            false);
    q.atUs = nowUs;
    begun++;
    asks += nowUs >= COUNTED_FROM_US ? 1 : 0;
    long id = begun;
    q.node.open.put(id, q);
    if (setup.mode() == Mode.NONE) {
      fetch(q.node, id, 0);
    } else {
      q.node.act(q.node.keys.asked(nowUs, id, q.ask, nowUs + DEADLINE_US));
    }
    if (nowUs < END_US) {
      at(after(SECOND_US / setup.perSecond()), this::ask);
    }
  }

  private static String text(int wish, String kind) {
    String hall = "hall=h" + wish % 20;
    String voice = "voice=v" + wish / 20;
    return switch (kind) {
      case "phone" -> hall + "," + voice + ",app";
      case "kiosk" -> (voice + "," + hall).toUpperCase(Locale.ROOT);
      case "planner" -> voice + " , " + hall + " ";
      default -> "v1," + hall + "," + voice;
    };
  }

  private void lead(Query q) {
    long[] last =
        lastLead.computeIfAbsent(
            q.wish + "/" + q.ask.shard(), wish -> new long[] {Long.MIN_VALUE / 2, 0});
    boolean sameData = last[1] == generation(q.ask.shard());
    again += nowUs >= COUNTED_FROM_US && nowUs < last[0] + AGE_US && sameData ? 1 : 0;
    last[0] = nowUs;
  }

  private void fetch(Node node, long id, long flight) {
    Query q = node.open.get(id);
    fetches += nowUs >= COUNTED_FROM_US && nowUs < END_US ? 1 : 0;
    long begunUs = nowUs;
    String store = "s" + q.ask.shard() + "-" + random.nextInt(2);
    at(
        nowUs + 20_000 + random.nextLong(MOST_TAKES_US - 20_000),
        () -> {
          boolean fails = random.nextDouble() < setup.failing();
          int generation = generation(q.ask.shard());
          if (!fails) {
            String value =
                q.wish
                    + "/"
                    + (dependsNow ? q.ask.variants().get("language") : "any")
                    + "/"
                    + generation;
            Answer answer =
                new Answer(
                    value, store, 0, tells(q.ask.shard()) ? generation : 0, Set.of(), true, true);
            if (flight > 0) {
              lastLead.get(q.wish + "/" + q.ask.shard())[1] = generation;
            }
            List<Act> acts =
                flight > 0
                    ? node.keys.came(nowUs, flight, answer)
                    : setup.mode() == Mode.NONE
                        ? List.of()
                        : node.keys.alone(nowUs, q.ask, answer, begunUs);
            end(q);
            node.act(acts);
          } else {
            end(q);
            node.act(flight > 0 ? node.keys.failed(nowUs, flight, 1) : List.of());
          }
        });
  }

  private void given(Query q, Held held) {
    String[] value = held.answer().value().split("/", 0);
    String language = q.ask.variants().get("language");
    int generation = Integer.parseInt(value[2]);
    wrong +=
        Integer.parseInt(value[0]) != q.wish
                || (!value[1].equals("any") && !value[1].equals(language))
            ? 1
            : 0;
    List<Long> ofShard = ends.get(q.ask.shard());
    old += generation <= ofShard.size() && ofShard.get(generation - 1) < nowUs - AGE_US ? 1 : 0;
    boolean counts = nowUs >= COUNTED_FROM_US && nowUs < FALSE_US;
    acrossLanguages += counts && !language.equals(held.by().variants().get("language")) ? 1 : 0;
    end(q);
  }

  private void end(Query q) {
    if (q.ended++ == 0) {
      ended++;
    } else {
      late++;
    }
    late += nowUs > q.atUs + DEADLINE_US + 1 ? 1 : 0;
    if (q.atUs >= COUNTED_FROM_US) {
      took.recordValue(Math.max(1, nowUs - q.atUs));
    }
  }
}

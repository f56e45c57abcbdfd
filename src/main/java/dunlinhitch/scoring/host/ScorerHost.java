package dunlinhitch.scoring.host;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.FactorTable;
import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.ScorerSettings;
import dunlinhitch.scoring.Scoring;
import dunlinhitch.scoring.ScoringRule;
import dunlinhitch.scoring.Sight;
import dunlinhitch.scoring.Standing;
import dunlinhitch.scoring.Verdicts;
import dunlinhitch.scoring.Weight;
import dunlinhitch.scoring.WeightKey;
import dunlinhitch.scoring.Weights;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.Scorer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs a scorer beside the loop. The loop leaves what it sees here and reads the last table of
 * factors, both without waiting; a keeper thread holds the state, and a thread of the plug-in's own
 * runs its code. What the keeper hands the plug-in is immutable and what it takes back is copied,
 * so a plug-in that never returns holds nothing but its own thread.
 */
public final class ScorerHost implements AutoCloseable {
  private static final int NEWS_MOST = 64;

  /** What both threads of a broker know of time, and whether memory is short. */
  record Surroundings(LongSupplier nowUs, LongSupplier dayUs, BooleanSupplier memoryIsShort) {}

  private final String self;
  private final ScoringRule scoringRule;
  private final HostRule rule;
  private final List<Scoring.Kind> kinds;
  private final long seed;
  private final Surroundings surroundings;
  private final Consumer<String> log;
  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final AtomicLong dropped = new AtomicLong();
  private final Thread keeper;
  private volatile boolean closed;
  private volatile List<Sight> sights = List.of();
  private volatile FactorTable factors = FactorTable.NONE;
  private volatile News news = News.NONE;
  private volatile Figures figures = Figures.NONE;

  // ---- the keeper's own

  private final Verdicts verdicts;
  private final Standing standing;

  /** Threads of plug-ins that were let go and have not ended yet. */
  private final List<Judge> left = new ArrayList<>();

  private ScorerSettings settings;
  private Judge judge;
  private Loaded loaded;
  private Scoring scoring;

  /** One that is being loaded, beside the one that judges. */
  private Judge coming;

  private Call<List<List<Judgement>>> asked;
  private List<Round> askedRounds = List.of();
  private Call<Loaded> loading;

  /** What judged when the loading began. */
  private Loaded loadingBeside;

  private boolean reload = true;
  private long nextUs;
  private long rounds;
  private long costUs;
  private long allocated;
  private long newsBefore;

  public ScorerHost(
      String self,
      ScorerSettings settings,
      ScoringRule scoringRule,
      HostRule rule,
      List<Scoring.Kind> kinds,
      long seed,
      LongSupplier nowUs,
      LongSupplier dayUs,
      Consumer<String> log) {
    this(
        self,
        settings,
        scoringRule,
        rule,
        kinds,
        seed,
        new Surroundings(nowUs, dayUs, Cost::heapIsFull),
        log);
  }

  ScorerHost(
      String self,
      ScorerSettings settings,
      ScoringRule scoringRule,
      HostRule rule,
      List<Scoring.Kind> kinds,
      long seed,
      Surroundings surroundings,
      Consumer<String> log) {
    this.self = self;
    this.settings = settings;
    this.scoringRule = scoringRule;
    this.rule = rule;
    this.kinds = List.copyOf(kinds);
    this.seed = seed;
    this.surroundings = surroundings;
    this.log = log;
    verdicts = new Verdicts(self);
    standing = new Standing(rule.standing(), seed);
    keeper = new Thread(null, this::keep, "scoring", 0, false);
    keeper.setDaemon(true);
    keeper.start();
  }

  // ---- for the loop; nothing here waits for anything

  /** The factors of the last sound round; {@link FactorTable#NONE} while there is none. */
  public FactorTable factors() {
    return factors;
  }

  /** All stores as they are now; only the latest counts. */
  public void seen(List<Sight> all) {
    sights = all;
  }

  public void ended(String store, int queryClass, Ending ending) {
    tell(
        () -> {
          if (scoring != null) {
            scoring.ended(store, queryClass, ending);
          }
        });
  }

  public void told(ReplicatedEntry<WeightKey, Weight> fact) {
    tell(
        () -> {
          if (scoring != null) {
            scoring.weights().told(surroundings.dayUs().getAsLong(), fact);
          }
        });
  }

  public void toldVerdict(ReplicatedEntry<ScorerIdentity, Failure> fact) {
    tell(() -> verdicts.told(surroundings.dayUs().getAsLong(), fact));
  }

  public News news() {
    return news;
  }

  public Figures figures() {
    return figures;
  }

  /**
   * SIGHUP: the directory is read again. What has not changed goes on; a jar that is gone is let
   * go; one that is of no use changes nothing.
   */
  public void reload(ScorerSettings told) {
    inbox.add(
        () -> {
          settings = told;
          reload = true;
          standing.changed();
        });
  }

  @Override
  public void close() {
    closed = true;
    keeper.interrupt();
  }

  private void tell(Runnable message) {
    if (inbox.size() < rule.inboxMost()) {
      inbox.add(message);
    } else {
      dropped.incrementAndGet();
    }
  }

  // ---- the keeper

  private void keep() {
    try {
      while (!closed) {
        Runnable message =
            inbox.poll(
                Math.max(0, dueUs() - surroundings.nowUs().getAsLong()), TimeUnit.MICROSECONDS);
        if (message != null) {
          message.run();
        }
        act(surroundings.nowUs().getAsLong());
      }
    } catch (InterruptedException e) {
      // closed
    } finally {
      factors = FactorTable.NONE;
      letGo();
      if (coming != null) {
        coming.abandon();
      }
    }
  }

  private long dueUs() {
    long due = Long.MAX_VALUE / 2;
    due = asked != null ? Math.min(due, asked.untilUs) : due;
    due = loading != null ? Math.min(due, loading.untilUs) : due;
    due = loaded != null && asked == null ? Math.min(due, nextUs) : due;
    return wantsLoading() ? Math.min(due, Math.max(nextUs, standing.mayFromUs())) : due;
  }

  private boolean wantsLoading() {
    return loading == null && asked == null && (loaded == null || reload);
  }

  private void act(long nowUs) {
    if (asked != null && nowUs >= asked.untilUs) {
      asked = null;
      left.add(judge);
      judge.abandon();
      judge = null;
      leaveOut(
          nowUs,
          Failure.NEVER_RETURNS,
          "a round was not answered within " + rule.returnMostUs() + " µs");
    }
    if (loading != null && nowUs >= loading.untilUs) {
      loading = null;
      left.add(coming);
      coming.abandon();
      coming = null;
      loadingBeside = null;
      notLoaded(
          nowUs, Failure.NEVER_RETURNS, "it was not loaded within " + rule.loadMostUs() + " µs");
    }
    left.removeIf(thread -> !thread.isAlive());
    if (wantsLoading() && nowUs >= nextUs && standing.may(nowUs)) {
      nextUs = roundAfter(nowUs);
      if (left.size() < rule.stuckMost()) {
        load(nowUs);
      }
    } else if (loaded != null && asked == null && nowUs >= nextUs) {
      nextUs = roundAfter(nowUs);
      ask(nowUs);
    }
  }

  private long roundAfter(long nowUs) {
    return scoring != null ? scoring.nextRoundUs(nowUs) : nowUs + scoringRule.roundUs();
  }

  private void load(long nowUs) {
    reload = false;
    ScorerSettings wanted = settings;
    Loaded before = loaded;
    loadingBeside = before;
    loading =
        new Call<>(
            nowUs + rule.loadMostUs(),
            Failure.WILL_NOT_LOAD,
            () -> {
              Loaded found = Loaded.find(wanted);
              if (before != null
                  && before.digest().equals(found.digest())
                  && before.identity().equals(found.identity())) {
                return before;
              }
              found.scorer().begin(wanted.parameters());
              return found;
            });
    coming = new Judge(wanted.name(), call -> inbox.add(() -> handedBack(call)));
    coming.ask(loading);
  }

  private void ask(long nowUs) {
    scoring.seen(sights);
    List<Round> rounds = scoring.rounds(nowUs, surroundings.dayUs().getAsLong());
    Scorer scorer = loaded.scorer();
    askedRounds = rounds;
    asked =
        new Call<>(
            nowUs + rule.returnMostUs(),
            Failure.THROWS,
            () -> {
              List<List<Judgement>> said = new ArrayList<>();
              for (Round round : rounds) {
                said.add(copied(scorer.judge(round), round.candidates().size() + 1));
              }
              return said;
            });
    judge.ask(asked);
  }

  /**
   * A list of the plug-in's own kind may do anything when it is read, so it is read on the
   * plug-in's thread, and no further than it matters.
   */
  private static List<Judgement> copied(List<Judgement> said, int most) {
    if (said == null) {
      return null;
    }
    List<Judgement> copy = new ArrayList<>();
    for (Judgement judgement : said) {
      if (copy.size() == most) {
        break;
      }
      copy.add(judgement);
    }
    return copy;
  }

  /** What comes back too late is neither of the two any more. */
  private void handedBack(Call<?> call) {
    long nowUs = surroundings.nowUs().getAsLong();
    if (call == asked) {
      Call<List<List<Judgement>>> answered = asked;
      asked = null;
      judged(nowUs, answered);
    } else if (call == loading) {
      Call<Loaded> done = loading;
      loading = null;
      loaded(nowUs, done);
    }
  }

  private void judged(long nowUs, Call<List<List<Judgement>>> call) {
    allocated += call.bytes;
    costUs = call.costUs;
    long dayUs = surroundings.dayUs().getAsLong();
    if (call.failure != null) {
      leaveOut(nowUs, call.failure, call.why);
    } else if (call.bytes > rule.bytesMost()) {
      leaveOut(nowUs, Failure.HOLDS_MEMORY, call.bytes + " bytes in one round");
    } else if (allocated > rule.bytesMost() && surroundings.memoryIsShort().getAsBoolean()) {
      leaveOut(
          nowUs,
          Failure.HOLDS_MEMORY,
          "the heap is nearly full, and it took " + allocated + " bytes since it was loaded");
    } else if (call.costUs > rule.costMostUs() && standing.slow()) {
      leaveOut(nowUs, Failure.SLOW, call.costUs + " µs in one round, not for the first time");
    } else {
      String wrong = scoring.judged(dayUs, askedRounds, call.result);
      if (wrong.isEmpty()) {
        rounds++;
        factors = scoring.table();
        if (call.costUs <= rule.costMostUs()) {
          standing.answered();
        }
        publish();
      } else {
        leaveOut(nowUs, Failure.NONSENSE, wrong);
      }
    }
  }

  @SuppressWarnings("ReferenceEquality") // the loader returns the very object where nothing changed
  private void loaded(long nowUs, Call<Loaded> call) {
    Judge fresh = coming;
    boolean unchanged = call.failure == null && call.result == loadingBeside;
    coming = null;
    loadingBeside = null;
    if (call.failure != null || unchanged) {
      fresh.end();
      left.add(fresh);
      if (call.failure != null) {
        notLoaded(nowUs, call.failure, call.why);
      }
      return;
    }
    letGo();
    loaded = call.result;
    judge = fresh;
    if (scoring == null || !scoring.scorer().equals(loaded.identity())) {
      newsBefore += scoring == null ? 0 : scoring.weights().version();
      scoring = new Scoring(self, loaded.identity(), scoringRule, kinds, seed);
      factors = FactorTable.NONE;
    }
    log.accept(
        "scorer " + loaded.identity().name() + " " + loaded.identity().version() + " judges");
    publish();
  }

  /**
   * A jar that is of no use leaves the one that judges where it is; one that is gone takes it
   * along.
   */
  private void notLoaded(long nowUs, Failure failure, String why) {
    if (failure == Failure.NOT_THERE) {
      factors = FactorTable.NONE;
      letGo();
    }
    standing.failed(nowUs, failure, why, 0);
    log.accept(standing.words(settings.name()));
    publish();
  }

  private void leaveOut(long nowUs, Failure failure, String why) {
    long dayUs = surroundings.dayUs().getAsLong();
    factors = FactorTable.NONE;
    verdicts.failed(dayUs, loaded.identity(), failure);
    standing.failed(nowUs, failure, why, verdicts.doubters(dayUs, loaded.identity()));
    letGo();
    log.accept(standing.words(settings.name()));
    publish();
  }

  /**
   * Nothing of the keeper's refers to the plug-in's classes after this; its own thread closes it
   * and ends.
   */
  private void letGo() {
    if (judge != null) {
      Scorer scorer = loaded.scorer();
      judge.ask(
          new Call<Void>(
              0,
              Failure.THROWS,
              () -> {
                scorer.close();
                return null;
              }));
      judge.end();
      left.add(judge);
    }
    judge = null;
    loaded = null;
    asked = null;
    allocated = 0;
  }

  private void publish() {
    long number =
        newsBefore + verdicts.version() + (scoring == null ? 0 : scoring.weights().version());
    if (number != news.number()) {
      news =
          new News(
              number,
              scoring == null ? List.of() : scoring.weights().since(0, NEWS_MOST),
              verdicts.since(0, NEWS_MOST));
    }
    Map<Failure, Long> failures = new EnumMap<>(Failure.class);
    for (Failure failure : Failure.values()) {
      failures.put(failure, standing.count(failure));
    }
    Map<Weights.Took, Long> words = new EnumMap<>(Weights.Took.class);
    for (Weights.Took took : Weights.Took.values()) {
      words.put(took, scoring == null ? 0 : scoring.weights().count(took));
    }
    figures =
        new Figures(
            loaded == null ? null : loaded.identity(),
            rounds,
            costUs,
            Map.copyOf(failures),
            Map.copyOf(words),
            dropped.get(),
            left.size(),
            standing.words(settings.name()));
  }
}

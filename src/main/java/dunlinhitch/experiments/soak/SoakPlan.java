package dunlinhitch.experiments.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The plan of one soak run: deployment, load and faults. {@link #draw} generates it from a seed.
 *
 * @param seed seed of all random draws of the run
 * @param seconds duration of the load
 * @param brokers number of broker processes
 * @param storesPerCell number of replicas of each shard
 * @param parallelAttempts whether a part may have several attempts in flight
 * @param mayCancel whether brokers may cancel attempts
 * @param mayHealthCheck whether brokers may send health checks
 * @param objectiveMs latency objective of both query classes
 * @param deadlineMs deadline of both query classes, after which clients no longer wait
 * @param windowMs deduplication window of the class with idempotency keys
 * @param faults the faults in the order of their start
 */
public record SoakPlan(
    long seed,
    int seconds,
    int brokers,
    int storesPerCell,
    boolean parallelAttempts,
    boolean mayCancel,
    boolean mayHealthCheck,
    int objectiveMs,
    int deadlineMs,
    int windowMs,
    List<SoakFault> faults) {
  static final int CELLS = 2;
  static final int MAX_ATTEMPTS = 4;
  static final int DRAIN_GRACE_MS = 250;

  /** The query class without idempotency keys. This class permits partial answers. */
  static final String SEARCH = "search";

  /** The query class with idempotency keys. */
  static final String BOOKING = "booking";

  private static final int MIN_FAULT_GAP_MS = 150;
  private static final int MAX_FAULT_GAP_MS = 700;
  private static final int MIN_FAULT_MS = 40;
  private static final int MAX_FAULT_MS = 1_500;

  /**
   * Maximum duration of a process pause. It is below {@link SoakChecker#STALL_US}, because a longer
   * pause could violate the timed rules although the broker is correct.
   */
  private static final int MAX_PAUSE_MS = 120;

  /** Creates a plan with an immutable copy of the faults. */
  public SoakPlan {
    faults = List.copyOf(faults);
  }

  /** Generates the plan of a seed. */
  public static SoakPlan draw(long seed, int seconds) {
    SplittableRandom random = new SplittableRandom(seed);
    int brokers = random.nextInt(1, 4);
    int storesPerCell = random.nextInt(2, 4);
    int deadlineMs = random.nextInt(300, 1_500);
    return new SoakPlan(
        seed,
        seconds,
        brokers,
        storesPerCell,
        random.nextInt(4) == 0,
        random.nextInt(6) > 0,
        random.nextInt(6) > 0,
        deadlineMs * random.nextInt(35, 75) / 100,
        deadlineMs,
        random.nextInt(200, 1_500),
        drawFaults(random, seconds, brokers, CELLS * storesPerCell));
  }

  private static List<SoakFault> drawFaults(
      SplittableRandom random, int seconds, int brokers, int stores) {
    SoakFault.Kind[] kinds = SoakFault.Kind.values();
    List<SoakFault> faults = new ArrayList<>();
    int atMs = random.nextInt(MIN_FAULT_GAP_MS, MAX_FAULT_GAP_MS);
    while (atMs < seconds * 1_000) {
      SoakFault.Kind kind = kinds[random.nextInt(kinds.length)];
      int longestMs = kind == SoakFault.Kind.BROKER_PAUSED ? MAX_PAUSE_MS : MAX_FAULT_MS;
      faults.add(
          new SoakFault(
              kind,
              atMs,
              random.nextInt(MIN_FAULT_MS, longestMs),
              random.nextInt(brokers),
              random.nextInt(stores)));
      atMs += random.nextInt(MIN_FAULT_GAP_MS, MAX_FAULT_GAP_MS);
    }
    return faults;
  }

  /** Returns the limits that the run must observe. */
  public SoakChecker.Limits limits() {
    return new SoakChecker.Limits(
        parallelAttempts, MAX_ATTEMPTS, DRAIN_GRACE_MS * 1_000L, BOOKING, windowMs * 1_000L);
  }

  /**
   * Returns the format of the broker settings, with %d for the numbers of brokers, cells and
   * shards.
   */
  String settings() {
    String classes =
        String.format(
            Locale.ROOT,
            "{\"Name\":\"%s\",\"OnTimeUs\":%d,\"DeadlineUs\":%d,\"Idempotency\":\"free\","
                + "\"LateWorth\":0.1,\"Points\":3},"
                + "{\"Name\":\"%s\",\"OnTimeUs\":%d,\"DeadlineUs\":%d,\"Idempotency\":\"guarded\","
                + "\"DedupWindowUs\":%d,\"LateWorth\":0.3,\"Points\":2}",
            SEARCH,
            objectiveMs * 1_000,
            deadlineMs * 1_000,
            BOOKING,
            objectiveMs * 1_000,
            deadlineMs * 1_000,
            windowMs * 1_000);
    return "{\"ReplicasOfMe\":%d,\"FailureDomains\":[\"here\"],\"MyZone\":0,\"TickUs\":2000,\"Classes\":["
        + classes
        + "],\"Domain\":{\"Positions\":%d,\"InARow\":1,\"Shards\":%d,\"PerCall\":8,"
        + "\"FloorByClass\":[0.5,1],\"ShortWorth\":[0.9,1]},"
        + "\"Limits\":{\"MaxAttempts\":"
        + MAX_ATTEMPTS
        + ",\"MostHeld\":2000,\"MayCancel\":"
        + mayCancel
        + ",\"MayProbe\":"
        + mayHealthCheck
        + ",\"ParallelTries\":"
        + parallelAttempts
        + ",\"RetryAfter\":true,\"MaxRetryAfterUs\":500000,"
        + "\"ConnectTimeoutUs\":250000,\"StreamsPerConn\":32,\"ConnIdleUs\":15000000},"
        + "\"Rules\":{\"AnswerSlackUs\":20000,\"ColdFrom\":0.15,\"WarmAfterUs\":17000000,"
        + "\"OverloadFactor\":3,\"FallUs\":1500000,\"DrainGraceUs\":"
        + DRAIN_GRACE_MS * 1_000
        + "},\"Report\":{\"Via\":\"answers\",\"Fields\":[\"recent_ms\",\"backlog\"]}}";
  }
}

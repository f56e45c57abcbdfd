package dunlinhitch.experiments.measurements;

import com.eclipsesource.json.Json;
import dunlinhitch.config.Product;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.QueueingStore;
import dunlinhitch.experiments.fakes.Store.FirstAnswer;
import dunlinhitch.experiments.fakes.Store.ReceivedPart;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Compares the value of the answers with and without a first pass, for the same queries on the same
 * fake stores. The parameters are the load, the share of empty blocks and the cost of a first pass.
 * The load is open loop: the latency of a query is measured from the time at which the query was
 * due to be sent.
 */
final class PhasesMeasure implements Measures.Measure {
  private static final int STORES = 4;
  private static final int CORES = 2;
  private static final long WORK_US = 20_000;
  private static final int PARTS = 6;
  private static final int SHARDS = 24;
  private static final long OBJECTIVE_US = 700_000;
  private static final double PARTIAL_VALUE = 0.9;
  private static final double LATE_VALUE = 0.1;
  private static final String EMPTY_ANSWER = "{}";

  private record Result(
      double worth,
      double lost,
      double workMs,
      double p50Ms,
      double p99Ms,
      long twoPhases,
      long onePhase) {}

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) throws Exception {
    double[] loads = quick ? new double[] {1.3} : new double[] {0.5, 0.9, 1.3};
    double[] emptyShares = quick ? new double[] {0, 0.6} : new double[] {0, 0.3, 0.6, 0.9};
    double[] firstPassCosts = quick ? new double[] {0.1} : new double[] {0.02, 0.1, 0.3};
    double seconds = quick ? 5 : 4;
    out.printf(
        "%5s %6s %6s | %8s %8s %8s %8s | %8s %8s %8s %8s %7s | %6s %6s%n",
        "load", "empty", "price", "worth 1", "work ms", "p50 ms", "p99 ms", "worth 2", "work ms",
        "p50 ms", "p99 ms", "in two", "ratio", "lost");
    double target = 0;
    double minRatio = 9;
    double lost = 0;
    for (double load : loads) {
      for (double empty : emptyShares) {
        Result one = runLoad(load, empty, 0.1, false, seconds, seed);
        for (double price : firstPassCosts) {
          Result two = runLoad(load, empty, price, true, seconds, seed);
          double ratio = two.worth() / one.worth();
          printRow(out, new Setting(load, empty, price), one, two);
          target = load == 1.3 && empty == 0.6 && price == 0.1 ? ratio : target;
          minRatio = empty <= price ? Math.min(minRatio, ratio) : minRatio;
          lost += two.lost() + one.lost();
        }
      }
    }
    out.printf(
        Locale.ROOT,
        "columns from 'worth 1': one phase; columns from 'worth 2': two phases%n"
            + "empty: share of blocks without matches; price: cost of a first pass as a share of a full pass%n"
            + "worth: mean value of a query: 1 for a complete answer in time, %.1f for a late one, %.1f times "
            + "the answered share for a partial one%n"
            + "work: store time per query; in two: share of queries with two phases; ratio: 'worth 2' divided by 'worth 1'%n"
            + "lost: blocks wrongly reported as empty or as not empty%n"
            + "in rows with 'empty' <= 'price', a first pass costs at least as much as it saves; "
            + "the minimum of 'ratio' in these rows is %.3f (required 0.98)%n",
        LATE_VALUE,
        PARTIAL_VALUE,
        minRatio);
    return new Measures.Verdict(
        "worth-by-one-phase-at-1.3-0.6-0.1", lost > 0 ? 0 : target, "times", 1.25, false);
  }

  private record Setting(double load, double empty, double price) {}

  private static void printRow(PrintStream out, Setting setting, Result one, Result two) {
    out.printf(
        Locale.ROOT,
        "%5.1f %6.1f %6.2f | %8.3f %8.1f %8.1f %8.1f | %8.3f %8.1f %8.1f %8.1f %6.0f%% | %6.3f %6.0f%n",
        setting.load(),
        setting.empty(),
        setting.price(),
        one.worth(),
        one.workMs(),
        one.p50Ms(),
        one.p99Ms(),
        two.worth(),
        two.workMs(),
        two.p50Ms(),
        two.p99Ms(),
        100.0 * two.twoPhases() / Math.max(1, two.twoPhases() + two.onePhase()),
        two.worth() / one.worth(),
        two.lost());
  }

  /** Returns the two-phase settings of the query class; empty if {@code twoPhases} is false. */
  private static List<Product.TwoPhaseClass> twoPhaseClasses(boolean twoPhases) {
    if (!twoPhases) {
      return List.of();
    }
    return List.of(new Product.TwoPhaseClass("free-search", 0.3, 3, 0.02, 0.02, 0.05, 60_000_000));
  }

  private static boolean isEmpty(String predicate, int shard, double share) {
    long hash = new SplittableRandom(predicate.hashCode() * 31L + shard).nextLong(1_000);
    return hash < share * 1_000;
  }

  private static Result runLoad(
      double load, double empty, double price, boolean twoPhases, double seconds, long seed)
      throws Exception {
    Vertx storeVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    BrokerFixture fixture = new BrokerFixture();
    fixture.twoPhaseClasses = twoPhaseClasses(twoPhases);
    List<QueueingStore> stores = startStores(storeVertx, empty, price);
    fixture.publishStores(stores.toArray(QueueingStore[]::new));
    fixture.start(BrokerFixture.settings(2_000), null);
    Client client = Client.http(fixture.httpPort);
    double perSecond = load * STORES * CORES * 1e6 / WORK_US / PARTS;
    long warmUpNanos = (long) (seconds * 0.4e9);
    long endNanos = (long) (seconds * 1.4e9);
    SplittableRandom random = new SplittableRandom(seed);
    Responses responses = new Responses(empty);
    long startNanos = System.nanoTime();
    long dueNanos = startNanos;
    int counted = 0;
    long workedBeforeUs = 0;
    for (int i = 0; dueNanos - startNanos < endNanos; i++) {
      dueNanos += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond);
      LockSupport.parkNanos(dueNanos - System.nanoTime());
      boolean counts = dueNanos - startNanos >= warmUpNanos;
      if (counts && counted++ == 0) {
        workedBeforeUs = workedUs(stores);
      }
      int firstShard = random.nextInt(SHARDS);
      String predicate = "p" + random.nextInt(100_000);
      responses.send(client, i, body(firstShard, predicate), predicate, dueNanos, counts);
    }
    responses.await();
    long workedUs = workedUs(stores) - workedBeforeUs;
    long twoPhaseQueries = fixture.counter("queries_in_two_phases");
    long onePhaseQueries = fixture.counter("queries_in_one_phase");
    client.close();
    for (QueueingStore store : stores) {
      store.close();
    }
    fixture.close();
    storeVertx.close();
    return new Result(
        responses.worth.sum() / counted,
        responses.lost.get(),
        workedUs / 1e3 / counted,
        responses.latency.getValueAtPercentile(50) / 1e3,
        responses.latency.getValueAtPercentile(99) / 1e3,
        twoPhaseQueries,
        onePhaseQueries);
  }

  private static List<QueueingStore> startStores(Vertx vertx, double empty, double price)
      throws Exception {
    List<QueueingStore> stores = new ArrayList<>();
    for (int i = 0; i < STORES; i++) {
      QueueingStore store =
          new QueueingStore(vertx, "s-" + i, CORES, WORK_US, price) {
            @Override
            public String value(ReceivedPart part) {
              return isEmpty(part.text(), part.shard(), empty) ? EMPTY_ANSWER : "{\"free\":3}";
            }
          };
      store.firstAnswer =
          part ->
              isEmpty(part.text(), part.shard(), empty)
                  ? new FirstAnswer(0, "v1", EMPTY_ANSWER)
                  : new FirstAnswer(3, "v1", "");
      stores.add(store);
    }
    return stores;
  }

  private static long workedUs(List<QueueingStore> stores) {
    return stores.stream().mapToLong(QueueingStore::workedUs).sum();
  }

  private static String body(int firstShard, String predicate) {
    StringBuilder ranges = new StringBuilder();
    for (int i = 0; i < PARTS; i++) {
      ranges
          .append(i == 0 ? "" : ",")
          .append("{\"range\":")
          .append((firstShard + i) % SHARDS)
          .append(",\"portion\":")
          .append(1.0 / PARTS)
          .append('}');
    }
    return "{\"ranges\":[" + ranges + "],\"predicate\":" + Json.value(predicate) + "}";
  }

  /**
   * Sends queries and aggregates their responses. Thread-safe: responses arrive on other threads.
   */
  private static final class Responses {
    private final double empty;
    private final DoubleAdder worth = new DoubleAdder();

    /**
     * Number of blocks that were reported as empty although they have matches, or as not empty
     * although they have none.
     */
    private final AtomicLong lost = new AtomicLong();

    private final AtomicLong open = new AtomicLong();
    private final Histogram latency = new ConcurrentHistogram(10_000_000, 3);

    Responses(double empty) {
      this.empty = empty;
    }

    /**
     * Sends a query. The response is counted only if {@code counts} is true; this flag is false
     * during the warm-up.
     */
    void send(
        Client client, int number, String body, String predicate, long dueNanos, boolean counts) {
      open.incrementAndGet();
      var unused =
          client
              .send(
                  "free-search", Map.of("X-Trace-Id", "m" + number, "X-Expires-In", "1.100"), body)
              .whenComplete(
                  (response, failure) -> {
                    long latencyUs = (System.nanoTime() - dueNanos) / 1000;
                    if (response != null) {
                      onResponse(response, predicate, latencyUs, counts);
                    }
                    open.decrementAndGet();
                  });
    }

    private void onResponse(
        Client.Response response, String predicate, long latencyUs, boolean counts) {
      boolean complete = response.outcome().equals("whole");
      if (!complete && !response.outcome().equals("partial")) {
        return;
      }
      double share = complete ? 1 : PARTIAL_VALUE * response.parts().size() / PARTS;
      if (counts) {
        worth.add(latencyUs <= OBJECTIVE_US ? share : LATE_VALUE * share);
        latency.recordValue(Math.min(latencyUs, 9_000_000));
      }
      response
          .parts()
          .forEach(
              (shard, value) -> {
                if (value.equals(EMPTY_ANSWER) != isEmpty(predicate, shard, empty)) {
                  lost.incrementAndGet();
                }
              });
    }

    /** Waits until no query is open, but at most 3 s. */
    void await() throws InterruptedException {
      long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
      while (open.get() > 0 && System.nanoTime() < untilNanos) {
        Thread.sleep(5);
      }
    }
  }
}

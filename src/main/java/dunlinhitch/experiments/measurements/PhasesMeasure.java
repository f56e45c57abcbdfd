package dunlinhitch.experiments.measurements;

import com.eclipsesource.json.Json;
import dunlinhitch.config.Product;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.QueueingStore;
import dunlinhitch.experiments.fakes.Stage;
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
 * Worth served with and without two phases, the same queries on the same stand-in stores: by load,
 * by the share of empty blocks and by the price of a first pass. Open loop: a query's time counts
 * from when it was due.
 */
final class PhasesMeasure implements Measures.Measure {
  private static final int STORES = 4;
  private static final int CORES = 2;
  private static final long WORK_US = 20_000;
  private static final int PARTS = 6;
  private static final long AIM_US = 700_000;
  private static final double SHORT_WORTH = 0.9;
  private static final double LATE_WORTH = 0.1;
  private static final String NONE = "{}";

  private record Result(
      double worth, double lost, double workMs, double p50Ms, double p99Ms, long two, long one) {}

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) throws Exception {
    double[] loads = quick ? new double[] {1.3} : new double[] {0.5, 0.9, 1.3};
    double[] empties = quick ? new double[] {0, 0.6} : new double[] {0, 0.3, 0.6, 0.9};
    double[] prices = quick ? new double[] {0.1} : new double[] {0.02, 0.1, 0.3};
    double seconds = quick ? 5 : 4;
    out.printf(
        "%5s %6s %6s | %8s %8s %8s %8s | %8s %8s %8s %8s %7s | %6s %6s%n",
        "load", "empty", "price", "worth 1", "work ms", "p50 ms", "p99 ms", "worth 2", "work ms",
        "p50 ms", "p99 ms", "in two", "ratio", "lost");
    double target = 0;
    double least = 9;
    double lost = 0;
    for (double load : loads) {
      for (double empty : empties) {
        Result one = day(load, empty, 0.1, false, seconds, seed);
        for (double price : prices) {
          Result two = day(load, empty, price, true, seconds, seed);
          double ratio = two.worth() / one.worth();
          out.printf(
              Locale.ROOT,
              "%5.1f %6.1f %6.2f | %8.3f %8.1f %8.1f %8.1f | %8.3f %8.1f %8.1f %8.1f %6.0f%% | %6.3f %6.0f%n",
              load,
              empty,
              price,
              one.worth(),
              one.workMs(),
              one.p50Ms(),
              one.p99Ms(),
              two.worth(),
              two.workMs(),
              two.p50Ms(),
              two.p99Ms(),
              100.0 * two.two() / Math.max(1, two.two() + two.one()),
              ratio,
              two.lost());
          target = load == 1.3 && empty == 0.6 && price == 0.1 ? ratio : target;
          least = empty <= price ? Math.min(least, ratio) : least;
          lost += two.lost() + one.lost();
        }
      }
    }
    out.printf(
        Locale.ROOT,
        "worth: of 1 a query (late %.1f, partial %.1f of its share); work: a query, of the stores; lost: blocks "
            + "answered as empty that had something%nwhere it does not pay (empty <= price) the least ratio is %.3f (wanted 0.98)%n",
        LATE_WORTH,
        SHORT_WORTH,
        least);
    return new Measures.Verdict(
        "worth-by-one-phase-at-1.3-0.6-0.1", lost > 0 ? 0 : target, "times", 1.25, false);
  }

  private static boolean isEmpty(String predicate, int shard, double share) {
    long hash = new SplittableRandom(predicate.hashCode() * 31L + shard).nextLong(1_000);
    return hash < share * 1_000;
  }

  private static Result day(
      double load, double empty, double price, boolean twoPhases, double seconds, long seed)
      throws Exception {
    Vertx peers = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Stage stage = new Stage();
    stage.twoPhaseClasses =
        twoPhases
            ? List.of(
                new Product.TwoPhaseClass("free-search", 0.3, 3, 0.02, 0.02, 0.05, 60_000_000))
            : List.of();
    List<QueueingStore> stores = new ArrayList<>();
    for (int i = 0; i < STORES; i++) {
      QueueingStore store =
          new QueueingStore(peers, "s-" + i, CORES, WORK_US, price) {
            @Override
            public String value(ReceivedPart part) {
              return isEmpty(part.text(), part.shard(), empty) ? NONE : "{\"free\":3}";
            }
          };
      store.firstAnswer =
          part ->
              isEmpty(part.text(), part.shard(), empty)
                  ? new FirstAnswer(0, "v1", NONE)
                  : new FirstAnswer(3, "v1", "");
      stores.add(store);
    }
    stage.publishStores(stores.toArray(QueueingStore[]::new));
    stage.start(Stage.settings(2_000), null);
    Client client = Client.http(stage.httpPort);
    double perSecond = load * STORES * CORES * 1e6 / WORK_US / PARTS;
    long warmNanos = (long) (seconds * 0.4e9);
    long endNanos = (long) (seconds * 1.4e9);
    SplittableRandom random = new SplittableRandom(seed);
    DoubleAdder worth = new DoubleAdder();
    AtomicLong lost = new AtomicLong();
    AtomicLong open = new AtomicLong();
    Histogram took = new ConcurrentHistogram(10_000_000, 3);
    long begin = System.nanoTime();
    long due = begin;
    int counted = 0;
    long workedBefore = 0;
    for (int i = 0; due - begin < endNanos; i++) {
      due += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond);
      LockSupport.parkNanos(due - System.nanoTime());
      boolean counts = due - begin >= warmNanos;
      if (counts && counted++ == 0) {
        workedBefore = stores.stream().mapToLong(QueueingStore::workedUs).sum();
      }
      int firstShard = random.nextInt(24);
      StringBuilder ranges = new StringBuilder();
      for (int p = 0; p < PARTS; p++) {
        ranges
            .append(p == 0 ? "" : ",")
            .append("{\"range\":")
            .append((firstShard + p) % 24)
            .append(",\"portion\":")
            .append(1.0 / PARTS)
            .append('}');
      }
      String predicate = "p" + random.nextInt(100_000);
      String body = "{\"ranges\":[" + ranges + "],\"predicate\":" + Json.value(predicate) + "}";
      long from = due;
      open.incrementAndGet();
      var unused =
          client
              .send("free-search", Map.of("X-Trace-Id", "m" + i, "X-Expires-In", "1.100"), body)
              .whenComplete(
                  (got, e) -> {
                    long us = (System.nanoTime() - from) / 1000;
                    if (got != null
                        && (got.outcome().equals("whole") || got.outcome().equals("partial"))) {
                      double share =
                          got.outcome().equals("whole")
                              ? 1
                              : SHORT_WORTH * got.parts().size() / PARTS;
                      if (counts) {
                        worth.add(us <= AIM_US ? share : LATE_WORTH * share);
                        took.recordValue(Math.min(us, 9_000_000));
                      }
                      got.parts()
                          .forEach(
                              (shard, value) -> {
                                if (value.equals(NONE) != isEmpty(predicate, shard, empty)) {
                                  lost.incrementAndGet();
                                }
                              });
                    }
                    open.decrementAndGet();
                  });
    }
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
    while (open.get() > 0 && System.nanoTime() < until) {
      Thread.sleep(5);
    }
    long worked = stores.stream().mapToLong(QueueingStore::workedUs).sum() - workedBefore;
    long two = stage.counter("queries_in_two_phases");
    long one = stage.counter("queries_in_one_phase");
    client.close();
    for (QueueingStore store : stores) {
      store.close();
    }
    stage.close();
    peers.close();
    return new Result(
        worth.sum() / counted,
        lost.get(),
        worked / 1e3 / counted,
        took.getValueAtPercentile(50) / 1e3,
        took.getValueAtPercentile(99) / 1e3,
        two,
        one);
  }
}

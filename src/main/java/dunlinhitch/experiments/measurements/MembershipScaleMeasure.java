package dunlinhitch.experiments.measurements;

import com.sun.management.ThreadMXBean;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Event;
import dunlinhitch.core.Reducer;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.discovery.dnssd.RecordsBenchmark;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.Endpoint.Protocol;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.experiments.dns.Zone;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Measures the cost of one changed endpoint, from the arrival of the pushed record to the decisions
 * of the broker, with 100, 1,000 and 10,000 instances. For comparison, it measures the cost of
 * delivering the same change as a complete endpoint list, as discovery sources did before. It also
 * measures the cost of refreshing every record.
 */
final class MembershipScaleMeasure implements Measures.Measure {
  private static final String SOURCE = "dns_sd scale";
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private record Cost(double us, double kb) {}

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) throws Exception {
    int[] sizes = {100, 1_000, 10_000};
    int changes = quick ? 400 : 4_000;
    out.printf(
        "%10s %12s %12s %12s %12s %14s %14s %12s%n",
        "instances",
        "change us",
        "change KB",
        "swap us",
        "swap KB",
        "refresh ms",
        "refresh MB",
        "KB on wire");
    Cost[] cost = new Cost[sizes.length];
    // Warm-up runs, so that the timed runs use compiled code.
    measureChange(sizes[1], changes, seed);
    measureReplacement(sizes[1], changes / 8, seed);
    for (int i = 0; i < sizes.length; i++) {
      cost[i] = measureChange(sizes[i], changes, seed);
      Cost whole = measureReplacement(sizes[i], Math.max(20, changes * 10 / sizes[i]), seed);
      long cpu = THREADS.getCurrentThreadCpuTime();
      long bytes = THREADS.getCurrentThreadAllocatedBytes();
      long wire = RecordsBenchmark.refresh(stores(sizes[i]), seed);
      out.printf(
          Locale.ROOT,
          "%10d %12.1f %12.1f %12.1f %12.1f %14.1f %14.1f %12.1f%n",
          sizes[i],
          cost[i].us(),
          cost[i].kb(),
          whole.us(),
          whole.kb(),
          (THREADS.getCurrentThreadCpuTime() - cpu) / 1e6,
          (THREADS.getCurrentThreadAllocatedBytes() - bytes) / 1e6,
          wire / 1e3);
    }
    out.println(
        "change: cost of withdrawing a store or adding it again (median); swap: cost of the same change "
            + "delivered as a complete list; refresh: cost of re-sending all record sets of all instances");
    return new Measures.Verdict(
        "change-kb-at-10000-by-100", cost[2].kb() / cost[0].kb(), "times", 1.5, true);
  }

  static List<List<org.xbill.DNS.Record>> stores(int size) {
    List<List<org.xbill.DNS.Record>> endpoints = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      endpoints.add(
          Zone.store(
              "_calendar._tcp.rooms.example.org.",
              "store " + i,
              address(i),
              7000,
              120,
              "id=s-" + i,
              "cell=" + i % 2,
              "zone=a"));
    }
    return endpoints;
  }

  private static String address(int number) {
    return "127." + (1 + number / 62_500) + "." + number / 250 % 250 + "." + (1 + number % 250);
  }

  private static Endpoint entry(int number, ServerState state) {
    return new Endpoint(
        "s-" + number, address(number), 7000, 0, number % 2, state, 1, 0, Protocol.FRAMES);
  }

  /** Returns the median cost of a change, in microseconds and kilobytes. */
  private static Cost measureChange(int size, int changes, long seed) throws Exception {
    RecordsBenchmark records =
        new RecordsBenchmark(new EndpointListReader(List.of("a"), e -> {}), seed);
    Reducer reducer = new Reducer(BrokerFixture.settings(300), seed, 0);
    long nowUs = 1_000_000;
    reducer.turn(nowUs, List.of(new Event.SourceRegistered(SOURCE, 1)));
    reducer.turn(
        nowUs, List.of(new Event.SourceUpdated(SOURCE, true, records.fill(nowUs, stores(size)))));
    SplittableRandom random = new SplittableRandom(seed);
    boolean[] withdrawn = new boolean[size];
    List<Double> us = new ArrayList<>();
    List<Double> kb = new ArrayList<>();
    for (int i = 0; i < changes; i++) {
      nowUs += 100_000;
      int index = random.nextInt(size);
      // Runs the due timers before the measured time begins, because the cost of the timers is not
      // part of the cost of the change.
      reducer.turn(nowUs, List.of());
      long bytes = THREADS.getCurrentThreadAllocatedBytes();
      long startNanos = System.nanoTime();
      List<EndpointClaim> claims = records.pushPointerChange(nowUs, index, withdrawn[index]);
      reducer.turn(nowUs, List.of(new Event.SourceUpdated(SOURCE, false, claims)));
      us.add((System.nanoTime() - startNanos) / 1e3);
      kb.add((THREADS.getCurrentThreadAllocatedBytes() - bytes) / 1e3);
      withdrawn[index] = !withdrawn[index];
    }
    return new Cost(median(us), median(kb));
  }

  private static Cost measureReplacement(int size, int changes, long seed) {
    Reducer reducer = new Reducer(BrokerFixture.settings(300), seed, 0);
    SplittableRandom random = new SplittableRandom(seed);
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      endpoints.add(entry(i, ServerState.READY));
    }
    long nowUs = 1_000_000;
    reducer.turn(nowUs, List.of(new Event.EndpointsUpdated(ServerListKind.FULL, endpoints)));
    List<Double> us = new ArrayList<>();
    List<Double> kb = new ArrayList<>();
    for (int i = 0; i < changes; i++) {
      nowUs += 100_000;
      int index = random.nextInt(size);
      reducer.turn(nowUs, List.of());
      long bytes = THREADS.getCurrentThreadAllocatedBytes();
      long startNanos = System.nanoTime();
      endpoints.set(
          index,
          entry(
              index,
              endpoints.get(index).state() == ServerState.READY
                  ? ServerState.DRAINING
                  : ServerState.READY));
      reducer.turn(nowUs, List.of(new Event.EndpointsUpdated(ServerListKind.FULL, endpoints)));
      us.add((System.nanoTime() - startNanos) / 1e3);
      kb.add((THREADS.getCurrentThreadAllocatedBytes() - bytes) / 1e3);
    }
    return new Cost(median(us), median(kb));
  }

  private static double median(List<Double> values) {
    return values.stream().sorted().toList().get(values.size() / 2);
  }
}

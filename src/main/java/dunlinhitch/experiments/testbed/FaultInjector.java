package dunlinhitch.experiments.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/** Injects the faults of a schedule into a test bed in real time, on the caller's thread. */
final class FaultInjector {
  private interface Action {
    void run() throws Exception;
  }

  private record Step(long atMs, String text, Action action) {}

  private final TestBed testBed;
  private final Consumer<String> log;

  /**
   * Creates an injector for {@code testBed}; {@code log} receives one line for each step that runs.
   */
  FaultInjector(TestBed testBed, Consumer<String> log) {
    this.testBed = testBed;
    this.log = log;
  }

  /**
   * Runs each step at its time, measured from the call of this method. Returns after the last step.
   */
  void run(List<ScheduledFault> faults) throws Exception {
    List<Step> steps = new ArrayList<>();
    for (ScheduledFault fault : faults) {
      if (fault.kind().isLasting()) {
        addLastingFault(steps, fault);
      } else {
        TestBed.Node node = findBroker(fault.targets().get(0));
        steps.add(new Step(fault.fromMs(), fault.text(), () -> apply(fault.kind(), node)));
      }
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    long startNanos = System.nanoTime();
    for (Step step : steps) {
      long waitMs = step.atMs() - (System.nanoTime() - startNanos) / 1_000_000;
      TimeUnit.MILLISECONDS.sleep(Math.max(0, waitMs));
      double elapsedS = (System.nanoTime() - startNanos) / 1e9;
      log.accept(String.format(Locale.ROOT, "%6.2f s  %s", elapsedS, step.text()));
      step.action().run();
    }
  }

  private void addLastingFault(List<Step> steps, ScheduledFault fault) {
    NetworkFaults.Rule[] rule = {null};
    steps.add(
        new Step(
            fault.fromMs(),
            fault.text(),
            () ->
                rule[0] =
                    testBed.links.add(
                        directionsOf(fault), harmOf(fault), fault.delayMs(), fault.share())));
    steps.add(
        new Step(
            fault.toMs(),
            "ended: " + fault.text(),
            () -> {
              testBed.links.remove(rule[0]);
              resetStalledConnections(fault);
            }));
  }

  /** Resets the connections that stalled during the fault, as a recovering network would. */
  private void resetStalledConnections(ScheduledFault fault) throws Exception {
    for (TestBed.Node node : testBed.nodes()) {
      if (fault.targets().contains(node.name) || fault.kind() == FaultKind.CUT) {
        testBed.resetStalled(node);
      }
    }
  }

  private TestBed.Node findBroker(String name) {
    return testBed.nodes().stream()
        .filter(node -> node.name.equals(name))
        .findFirst()
        .orElseThrow();
  }

  private void apply(FaultKind kind, TestBed.Node node) throws Exception {
    switch (kind) {
      case RESET -> testBed.reset(node);
      case KILL -> {
        if (node.isUp()) {
          node.kill();
        }
      }
      case END -> {
        if (node.isUp()) {
          node.terminate();
        }
      }
      case START -> {
        if (!node.isUp()) {
          node.start();
        }
      }
      default ->
          throw new IllegalArgumentException(
              "fault kind requires a start and an end time and cannot be applied as a single step: "
                  + kind);
    }
  }

  private static NetworkFaults.Harm harmOf(ScheduledFault fault) {
    return switch (fault.kind()) {
      case LATE -> NetworkFaults.Harm.LATE;
      case SLOW -> NetworkFaults.Harm.SLOW;
      default -> NetworkFaults.Harm.LOST;
    };
  }

  /**
   * Returns a predicate that accepts the pairs of sender and receiver to which the fault applies.
   */
  private static BiPredicate<String, String> directionsOf(ScheduledFault fault) {
    List<String> targets = fault.targets();
    return switch (fault.kind()) {
      case CUT -> (from, to) -> targets.contains(from) != targets.contains(to);
      case ALONE ->
          (from, to) ->
              from.startsWith("n")
                  && to.startsWith("n")
                  && targets.contains(from) != targets.contains(to);
      case MUTE -> (from, to) -> from.equals(targets.get(0)) && to.equals(targets.get(1));
      default -> (from, to) -> targets.contains(from) && targets.contains(to);
    };
  }
}

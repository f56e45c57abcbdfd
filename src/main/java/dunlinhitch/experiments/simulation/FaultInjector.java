package dunlinhitch.experiments.simulation;

import dunlinhitch.balancer.ServerState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Starts and ends the faults of a schedule at the stores, the network, the clients and the brokers.
 * Not thread-safe.
 */
final class FaultInjector {
  private static final long DEFAULT_DURATION_US = 5_000_000;
  private static final long DEFAULT_RESTART_US = 8_000_000;
  private static final long DEFAULT_OUTAGE_US = 2_000_000;
  private static final long DEFAULT_WITHDRAWAL_US = 500_000;
  private static final long SUCCESSOR_START_US = 1_000_000;
  private static final long REPLACED_STOP_US = 4_000_000;

  private final Simulation simulation;
  private final Scheduler time;
  private final long startUs;
  private final Map<String, Integer> partitions = new HashMap<>();
  private double trafficFactor = 1;
  private double globalSlowdown = 1;
  private long reportDelayUs;
  private double corruptShare;

  FaultInjector(Simulation simulation, Scheduler time, long startUs) {
    this.simulation = simulation;
    this.time = time;
    this.startUs = startUs;
  }

  /** Returns the factor by which the query rate of the clients is multiplied. */
  double trafficFactor() {
    return trafficFactor;
  }

  /**
   * Returns the delay of an active {@code late} fault in microseconds, or 0. While the delay is
   * above 0, answers contain no load report.
   */
  long reportDelayUs() {
    return reportDelayUs;
  }

  /** Returns the share of answers that are corrupted. */
  double corruptShare() {
    return corruptShare;
  }

  /**
   * Returns whether a link is partitioned; {@code link} consists of the slot of a broker and the
   * name of a store, such as {@code b0 s3}.
   */
  boolean isPartitioned(String link) {
    return partitions.getOrDefault(link, 0) > 0;
  }

  /** Starts a fault now and schedules its end. */
  void apply(Fault fault) {
    simulation.line("trouble " + fault);
    switch (fault.kind()) {
      case "slow" ->
          during(
              fault,
              1,
              factor -> targets(fault).forEach(s -> s.slowdown = globalSlowdown * factor));
      case "slow-all" -> during(fault, 1, this::slowDownAll);
      case "jump" -> during(fault, 1, factor -> trafficFactor = factor);
      case "late" -> during(fault, 0, delayUs -> reportDelayUs = (long) delayUs.doubleValue());
      case "garble" -> during(fault, 0, share -> corruptShare = share);
      case "cut" -> partition(fault);
      case "kill" -> crashBroker(fault);
      case "settings" -> dropQueryClass(fault);
      case "room" -> crashZone(fault);
      default -> applyToStores(fault);
    }
  }

  private void applyToStores(Fault fault) {
    for (String name : fault.targets()) {
      SimulatedStore store = simulation.store(name);
      switch (fault.kind()) {
        case "crash" -> crashAndRestart(store, endUs(fault, DEFAULT_RESTART_US));
        case "drain" -> drain(store, endUs(fault, DEFAULT_RESTART_US));
        case "move" -> move(store);
        case "replace" -> replace(store);
        case "withdraw" -> withdraw(store, endUs(fault, DEFAULT_WITHDRAWAL_US));
        default -> throw new IllegalStateException("unhandled fault kind: " + fault.kind());
      }
    }
  }

  private List<SimulatedStore> targets(Fault fault) {
    return fault.targets().stream().map(simulation::store).toList();
  }

  /**
   * Returns the end time of a fault. If the fault has none, returns the current time plus {@code
   * defaultUs}.
   */
  private long endUs(Fault fault, long defaultUs) {
    return fault.toUs() >= 0 ? startUs + fault.toUs() : time.now() + defaultUs;
  }

  private void during(Fault fault, double normal, Consumer<Double> setter) {
    setter.accept(fault.factor());
    time.scheduleAt(endUs(fault, DEFAULT_DURATION_US), () -> setter.accept(normal));
  }

  private void slowDownAll(double factor) {
    globalSlowdown = factor;
    simulation.stores().forEach(store -> store.slowdown = factor);
  }

  private void crashAndRestart(SimulatedStore store, long restartUs) {
    simulation.crash(store);
    time.scheduleAt(restartUs, () -> simulation.restart(store));
  }

  private void crashZone(Fault fault) {
    int zone = fault.targets().get(0).equals("a") ? 0 : 1;
    List<SimulatedStore> stores =
        simulation.stores().stream().filter(store -> store.zone == zone).toList();
    stores.forEach(store -> crashAndRestart(store, endUs(fault, DEFAULT_DURATION_US)));
  }

  private void drain(SimulatedStore store, long restartUs) {
    store.draining = true;
    simulation.notifyBrokers(store, ServerState.DRAINING, false);
    time.scheduleAt(
        restartUs,
        () -> {
          store.stop();
          simulation.failAttempts(store);
          simulation.restart(store);
        });
  }

  private void move(SimulatedStore store) {
    store.stop();
    simulation.failAttempts(store);
    store.port = simulation.allocatePort();
    simulation.restart(store);
  }

  private void replace(SimulatedStore store) {
    store.draining = true;
    simulation.notifyBrokers(store, ServerState.DRAINING, false);
    time.scheduleAfter(REPLACED_STOP_US, () -> simulation.crash(store));
    time.scheduleAfter(
        SUCCESSOR_START_US,
        () -> simulation.restart(simulation.addStore(store.cell, store.zone, time.now())));
  }

  private void withdraw(SimulatedStore store, long endUs) {
    simulation.notifyBrokers(store, ServerState.GONE, true);
    time.scheduleAt(
        endUs,
        () -> {
          if (store.running) {
            simulation.notifyBrokers(store, ServerState.READY, true);
          }
        });
  }

  private void partition(Fault fault) {
    String link = fault.targets().get(0) + " " + fault.targets().get(1);
    partitions.merge(link, 1, Integer::sum);
    time.scheduleAt(
        endUs(fault, DEFAULT_OUTAGE_US), () -> partitions.merge(link, -1, Integer::sum));
  }

  private void crashBroker(Fault fault) {
    int slot = Integer.parseInt(fault.targets().get(0).substring(1));
    if (simulation.crashBroker(slot)) {
      time.scheduleAt(endUs(fault, DEFAULT_OUTAGE_US), () -> simulation.startBroker(slot));
    }
  }

  private void dropQueryClass(Fault fault) {
    simulation.reloadSettings(false);
    time.scheduleAt(endUs(fault, DEFAULT_DURATION_US), () -> simulation.reloadSettings(true));
  }
}

package dunlinhitch.scoring.host;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The clocks, memory monitor and log of a {@link ScorerHost}; called on its supervisor thread.
 *
 * @param nowUs a monotonic clock in microseconds
 * @param wallClockUs the wall clock in Unix microseconds
 * @param isHeapNearlyFull true if the heap is nearly full
 * @param log receives lines for an operator
 */
public record HostEnvironment(
    LongSupplier nowUs,
    LongSupplier wallClockUs,
    BooleanSupplier isHeapNearlyFull,
    Consumer<String> log) {
  /** The environment with the memory monitor of this JVM. */
  public static HostEnvironment of(
      LongSupplier nowUs, LongSupplier wallClockUs, Consumer<String> log) {
    return new HostEnvironment(nowUs, wallClockUs, ResourceUsage::isHeapNearlyFull, log);
  }
}

package dunlinhitch.scoring.host;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The clocks, memory monitor and log of a {@link ScorerHost}; called on its supervisor thread.
 *
 * @param nowUs a monotonic clock in microseconds
 * @param dayUs the wall clock in Unix microseconds
 * @param isMemoryShort true if the heap is nearly full
 * @param log receives lines for an operator
 */
public record HostEnvironment(
    LongSupplier nowUs, LongSupplier dayUs, BooleanSupplier isMemoryShort, Consumer<String> log) {
  /** The environment with the memory monitor of this JVM. */
  public static HostEnvironment of(LongSupplier nowUs, LongSupplier dayUs, Consumer<String> log) {
    return new HostEnvironment(nowUs, dayUs, ResourceUsage::isHeapNearlyFull, log);
  }
}

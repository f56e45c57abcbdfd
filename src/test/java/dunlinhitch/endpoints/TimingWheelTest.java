package dunlinhitch.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Tests when the timers of a {@link TimingWheel} fire. */
class TimingWheelTest {
  private static final long SECOND_US = 1_000_000;

  /** Every timer fires exactly once, never early, and at most one tick late. */
  @Property(tries = 200, seed = "20261201")
  void timersFireInTime(@ForAll("dueTimes") List<Long> dueTimes) {
    TimingWheel<Long> wheel = new TimingWheel<>(0);
    dueTimes.forEach(due -> wheel.schedule(due, due));
    List<Long> fired = new ArrayList<>();
    long now = 0;
    while (wheel.nextUs() != TimingWheel.NEVER) {
      now = Math.max(now, wheel.nextUs());
      long firedUs = now;
      wheel.advance(
          now,
          due -> {
            assertTrue(
                (due <= firedUs && firedUs - due <= TimingWheel.TICK_US)
                    || due < TimingWheel.TICK_US,
                due + " us, fired at " + firedUs);
            fired.add(due);
          });
    }
    assertEquals(dueTimes.stream().sorted().toList(), fired.stream().sorted().toList());
    assertEquals(0, wheel.size());
  }

  @Provide
  Arbitrary<List<Long>> dueTimes() {
    return Arbitraries.longs().between(0, 200L * 3600 * SECOND_US).list().ofMaxSize(40);
  }
}

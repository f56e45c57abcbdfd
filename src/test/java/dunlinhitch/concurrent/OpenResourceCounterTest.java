package dunlinhitch.concurrent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the counter keeps of closed resources. */
class OpenResourceCounterTest {
  private static final int RESOURCES = 1_000;

  /** Guards against closed connections that are kept for as long as nobody counts. */
  @Test
  void closingAResourceForgetsThoseThatAreReleased() {
    List<Integer> tested = new ArrayList<>();
    OpenResourceCounter<Integer> counter =
        new OpenResourceCounter<>(
            resource -> {
              tested.add(resource);
              return true;
            });
    for (int resource = 0; resource < RESOURCES; resource++) {
      counter.opened();
      counter.closed(resource);
    }
    assertEquals(RESOURCES - 1, tested.size()); // all but the last one are gone
    assertEquals(0, counter.count());
  }
}

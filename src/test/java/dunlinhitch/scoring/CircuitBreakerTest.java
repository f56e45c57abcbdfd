package dunlinhitch.scoring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CircuitBreakerTest {
  @Test
  void backoffGrowsWithFailuresAndShrinksWithSuccesses() {
    CircuitBreakerSettings settings = new CircuitBreakerSettings(1_000, 60_000, 2, 2);
    CircuitBreaker breaker = new CircuitBreaker(settings, 1);
    List<Long> backoffs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      breaker.onFailure(0, Failure.THROWS, "it is broken", 0);
      backoffs.add(breaker.retryAtUs());
      assertFalse(breaker.allowsRequest(breaker.retryAtUs() - 1));
    }
    for (int i = 0; i < 10; i++) {
      double maximum = Math.min(60_000, 1_000 * Math.pow(2, i));
      assertTrue(
          backoffs.get(i) >= 0.8 * maximum - 1 && backoffs.get(i) <= maximum, backoffs.toString());
    }
    assertTrue(
        breaker.describe("pace").contains("it is broken")
            && breaker.describe("pace").contains(Failure.THROWS.remedy()));
    for (int i = 0; i < 20; i++) {
      breaker.onSuccess();
    }
    breaker.onFailure(0, Failure.SLOW, "", 0);
    assertTrue(breaker.retryAtUs() <= 1_000);
    breaker.reset();
    breaker.onFailure(0, Failure.SLOW, "", 2);
    // The backoff is longer because two other brokers ejected the scorer.
    assertTrue(breaker.retryAtUs() > 1_000);
    assertFalse(breaker.onSlowRound());
    assertTrue(breaker.onSlowRound());
    assertEquals(10, breaker.count(Failure.THROWS));
  }
}

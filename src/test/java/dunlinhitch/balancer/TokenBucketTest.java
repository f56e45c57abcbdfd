package dunlinhitch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The token bucket of slow start. */
class TokenBucketTest {
  /**
   * If the phases of many buckets are evenly distributed, the buckets together admit exactly the
   * rate at which they are filled, even if each bucket gains only a fraction of a call per window.
   */
  @Test
  void bucketsOfUnevenPhasesAdmitTheirSumInEachPeriod() {
    TokenBucket[] buckets = new TokenBucket[100];
    for (int i = 0; i < buckets.length; i++) {
      buckets[i] = new TokenBucket();
      buckets[i].reset((i + 1) / 100.0, 0);
    }
    // Each bucket gains 0.05 of a call per window.
    for (int window = 0; window < 40; window++) {
      int admitted = 0;
      for (long at = 1; at <= 50; at++) {
        for (TokenBucket bucket : buckets) {
          if (bucket.canAfford(1_000, 1, 25, 50L * window + at)) {
            bucket.spend(1_000);
            admitted++;
          }
        }
      }
      assertEquals(5, admitted);
    }
  }
}

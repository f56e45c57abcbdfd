package dunlinhitch.scoring.shipped;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.scoring.api.Candidate;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.FleetWeight;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShippedScorersTest {
  private static Candidate candidate(String store, long latencyUs, FleetWeight fleet) {
    List<Ending> attempts =
        latencyUs == 0
            ? List.of()
            : Collections.nCopies(20, new Ending(Ending.Outcome.ANSWERED, 1, latencyUs, 10_000));
    return new Candidate(store, 0, "z", true, 1, 0, 0, List.of(), 0, attempts, fleet);
  }

  @Test
  void shippedScorersDetectASlowEndpoint() {
    Round round =
        new Round(
            1,
            "a",
            100_000,
            List.of(
                candidate("s0", 10_000, FleetWeight.NONE),
                candidate("s1", 60_000, FleetWeight.NONE),
                candidate("s2", 0, FleetWeight.NONE),
                candidate("s3", 0, new FleetWeight(4, 100, 9))));
    List<Judgement> pace = new LatencyRatio().judge(round);
    assertTrue(pace.get(1).factor() > 2 * pace.get(0).factor());
    // Only the weight of the other brokers distinguishes s3 from s2.
    assertTrue(pace.get(3).factor() > 2 * pace.get(2).factor());
    // This broker does not share the weight of the other brokers as its own.
    assertEquals(new Judgement(pace.get(3).factor(), 1, 0), pace.get(3));
    assertEquals(6, pace.get(1).weight(), 1e-6);
    List<Judgement> peak = new PeakLatency().judge(round);
    assertEquals(Math.sqrt(6), peak.get(1).factor() / peak.get(0).factor(), 1e-6);
    assertEquals(Judgement.NONE, peak.get(2));
  }
}

package dunlinhitch.experiments.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Memory of a broker process that the deploy file's command starts, beside crowds. */
class CrowdMemoryIT {
  /** The least memory that the platform has given this program. */
  private static final int MEMORY_MB = 128;

  /** The process must stay this far below its limit. */
  private static final int RESERVE_MB = 16;

  private static final int SOCKETS = 1_024;
  private static final int CROWD_SIZE = 600;
  private static final int SECONDS = 3;
  private static final long SEED = 1;

  @TempDir private Path directory;

  /**
   * Guards against hundreds of slow connections that make a process pass its memory limit: each
   * shape after the other, all of them mixed, and at a start and after a kill.
   */
  @Test
  void crowdsKeepTheProcessBelowItsMemoryLimit() throws Exception {
    MemoryPlan plan =
        new MemoryPlan(
            List.of(CrowdShape.values()), SECONDS, MEMORY_MB, SOCKETS, CROWD_SIZE, 10, 30, SEED);
    List<String> exceeded = new ArrayList<>();
    MemoryRun.play(
        plan,
        directory,
        report -> {
          System.out.println(report.row());
          if (!report.running()
              || !report.suspiciousLines().isEmpty()
              || report.served() == 0
              || report.peakMb() > MEMORY_MB - RESERVE_MB) {
            exceeded.add(report.row());
          }
        });
    assertEquals(List.of(), exceeded);
  }
}

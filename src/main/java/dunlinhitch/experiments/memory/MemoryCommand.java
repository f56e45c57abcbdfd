package dunlinhitch.experiments.memory;

import dunlinhitch.experiments.testbed.TestBedCommand;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command that measures the memory of a broker process beside crowds. */
@Command(
    name = "memory",
    description =
        "Runs crowds of slow clients against a broker that the deploy file's command starts, and "
            + "prints its memory and what usual clients got. Needs the built program.",
    mixinStandardHelpOptions = true)
public final class MemoryCommand implements Callable<Integer> {
  @Option(
      names = "--shapes",
      split = ",",
      description = "what the crowds send (default: all): ${COMPLETION-CANDIDATES}")
  private List<CrowdShape> shapes = List.of(CrowdShape.values());

  @Option(names = "--seconds", defaultValue = "8", description = "duration of each crowd")
  private int seconds;

  @Option(names = "--memory-mb", defaultValue = "128", description = "memory limit of the broker")
  private int memoryMb;

  @Option(names = "--sockets", defaultValue = "1024", description = "descriptors of the broker")
  private int sockets;

  @Option(names = "--crowd", defaultValue = "600", description = "connections of each crowd")
  private int crowdSize;

  @Option(names = "--min-pause-ms", defaultValue = "10", description = "least time between writes")
  private int minPauseMs;

  @Option(names = "--max-pause-ms", defaultValue = "30", description = "most time between writes")
  private int maxPauseMs;

  @Option(names = "--seed", defaultValue = "1", description = "seed of all random draws")
  private long seed;

  @Override
  public Integer call() throws Exception {
    MemoryPlan plan =
        new MemoryPlan(shapes, seconds, memoryMb, sockets, crowdSize, minPauseMs, maxPauseMs, seed);
    Path directory = Files.createTempDirectory("memory");
    System.out.println(MemoryReport.header());
    try {
      MemoryRun.play(plan, directory, report -> System.out.println(report.row()));
    } finally {
      TestBedCommand.clear(directory);
    }
    return 0;
  }
}

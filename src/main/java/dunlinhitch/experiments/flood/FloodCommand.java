package dunlinhitch.experiments.flood;

import dunlinhitch.experiments.testbed.TestBedCommand;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command that runs each trouble against a broker and prints what other clients experience. */
@Command(
    name = "flood",
    description = "Runs misbehaving clients against a broker process on one core.",
    mixinStandardHelpOptions = true)
public final class FloodCommand implements Callable<Integer> {
  private static final int MAX_LINES = 4;

  @Option(
      names = "--trouble",
      split = ",",
      description = "the troubles to run (default: all): ${COMPLETION-CANDIDATES}")
  private List<Trouble> troubles = List.of(Trouble.values());

  @Option(names = "--seconds", defaultValue = "4", description = "duration of each trouble")
  private int seconds;

  @Option(names = "--offenders", defaultValue = "6", description = "number of flooding clients")
  private int offenders;

  @Option(names = "--seed", defaultValue = "1", description = "seed of all random draws")
  private long seed;

  @Override
  public Integer call() throws Exception {
    System.out.println(FloodReport.header());
    for (Trouble trouble : troubles) {
      Path directory = Files.createTempDirectory("flood");
      try {
        FloodReport report = FloodRun.play(trouble, offenders, seconds, seed, directory);
        System.out.println(report.row(trouble));
        report.suspiciousLines().stream()
            .limit(MAX_LINES)
            .forEach(line -> System.out.println("    " + line));
      } finally {
        TestBedCommand.clear(directory);
      }
    }
    return 0;
  }
}

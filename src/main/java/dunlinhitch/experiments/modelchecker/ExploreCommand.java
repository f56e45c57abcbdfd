package dunlinhitch.experiments.modelchecker;

import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command that explores the states of a model and prints the first violation. */
@Command(
    name = "explore",
    description =
        "Explores all orders of messages and faults of a model with three brokers, up to a "
            + "number of transitions; exit code 1 if a property is violated.",
    mixinStandardHelpOptions = true)
public final class ExploreCommand implements Callable<Integer> {
  @Parameters(paramLabel = "MODEL", description = "name of the model")
  private String name;

  @Option(
      names = "--depth",
      defaultValue = "6",
      description =
          "maximum number of transitions from the initial state (default: ${DEFAULT-VALUE})")
  private int depth;

  @Option(
      names = "--states",
      defaultValue = "200000",
      description = "maximum number of distinct states (default: ${DEFAULT-VALUE})")
  private int states;

  @Override
  public Integer call() {
    long begin = System.nanoTime();
    Explorer.Report report =
        Explorer.explore(Models.create(name), new Explorer.Limits(depth, states));
    System.out.printf(
        Locale.ROOT,
        "%s: %d states, %d transitions in %.1f s; complete up to depth %d%n",
        name,
        report.states(),
        report.transitions(),
        (System.nanoTime() - begin) / 1e9,
        report.depth());
    report
        .violation()
        .ifPresent(
            found -> {
              System.out.println(
                  "violation: "
                      + found.description()
                      + ", after "
                      + found.trace().size()
                      + " transitions:");
              found.trace().forEach(move -> System.out.println("  " + move));
            });
    System.out.println(name + (report.violation().isEmpty() ? " without violations" : " violated"));
    return report.violation().isEmpty() ? 0 : 1;
  }
}

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
        "Runs modules of three brokers through every order of words and troubles, up to a "
            + "depth; exit code 1 if something is wrong.",
    mixinStandardHelpOptions = true)
public final class ExploreCommand implements Callable<Integer> {
  @Parameters(paramLabel = "MODEL", description = "what to explore")
  private String name;

  @Option(
      names = "--depth",
      defaultValue = "6",
      description = "moves at the most (default: ${DEFAULT-VALUE})")
  private int depth;

  @Option(
      names = "--states",
      defaultValue = "200000",
      description = "states at the most (default: ${DEFAULT-VALUE})")
  private int states;

  @Override
  public Integer call() {
    long begin = System.nanoTime();
    Explorer.Report report =
        Explorer.explore(Models.create(name), new Explorer.Limits(depth, states));
    System.out.printf(
        Locale.ROOT,
        "%s: %d states, %d moves in %.1f s; all up to %d moves deep%n",
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
                  "broken: " + found.description() + ", after " + found.trace().size() + " moves:");
              found.trace().forEach(move -> System.out.println("  " + move));
            });
    System.out.println(name + (report.violation().isEmpty() ? " held" : " broken"));
    return report.violation().isEmpty() ? 0 : 1;
  }
}

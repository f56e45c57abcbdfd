package dunlinhitch.experiments;

import dunlinhitch.experiments.flood.FloodCommand;
import dunlinhitch.experiments.measurements.FloorsCommand;
import dunlinhitch.experiments.measurements.Measures;
import dunlinhitch.experiments.memory.MemoryCommand;
import dunlinhitch.experiments.modelchecker.ExploreCommand;
import dunlinhitch.experiments.modelchecker.Models;
import dunlinhitch.experiments.simulation.SimulationCommands;
import dunlinhitch.experiments.soak.SoakCommand;
import dunlinhitch.experiments.testbed.TestBedCommand;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The command {@code experiments}. Its subcommands run simulations, the model checker, the test
 * bed, soak runs and measurements. The command {@code serve} never loads this class.
 */
@Command(
    name = "lab",
    description =
        "Runs simulations, model checks, soak runs and measurements against fake stores and clients.",
    mixinStandardHelpOptions = true,
    subcommands = {
      ExperimentsCommand.Measure.class,
      SimulationCommands.Run.class,
      SimulationCommands.Search.class,
      SimulationCommands.Shrink.class,
      SimulationCommands.Show.class,
      TestBedCommand.class,
      ExploreCommand.class,
      FloorsCommand.class,
      SoakCommand.class,
      FloodCommand.class,
      MemoryCommand.class
    })
public final class ExperimentsCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    System.out.println(
        "lab run, search, shrink, show: deterministic simulation of brokers under injected faults");
    System.out.println(
        "lab rig [FILE] [--seed N] [--brokers N]: broker processes under load, with faults injected by proxies");
    System.out.println(
        "lab explore MODEL [--depth N] [--states N]: model checking under all orders of messages and faults; MODEL is one of "
            + String.join(", ", Models.names()));
    System.out.println(
        "lab measure NAME [--seed N] [--quick]; NAME is one of "
            + String.join(", ", Measures.names()));
    System.out.println(
        "lab soak [--seeds A-B] [--seconds S]: runs broker processes under random faults and checks what clients and stores observe");
    System.out.println(
        "lab floors FILE...: compares the served share of the weight in acceptance test reports with the required share");
    return 0;
  }

  @Command(
      name = "measure",
      description =
          "Prints the table of a measurement and whether its figure is within its bound; exit code 0 only if it is within its bound.",
      mixinStandardHelpOptions = true)
  static final class Measure implements Callable<Integer> {
    @Parameters(paramLabel = "NAME", description = "name of the measurement")
    private String name;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "seed of the random generators (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
        names = "--quick",
        description = "runs a smaller variant of the measurement that takes at most 50 s")
    private boolean quick;

    @Override
    public Integer call() throws Exception {
      return Measures.run(name, seed, quick, System.out) ? 0 : 1;
    }
  }
}

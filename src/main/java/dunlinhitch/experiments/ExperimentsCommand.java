package dunlinhitch.experiments;

import dunlinhitch.experiments.measurements.FloorsCommand;
import dunlinhitch.experiments.measurements.Measures;
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
 * Stand-ins, models and measurements of the product's own; never loaded by a broker that serves.
 */
@Command(
    name = "lab",
    description = "Experiments and measurements on stand-ins of our own.",
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
      SoakCommand.class
    })
public final class ExperimentsCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    System.out.println("lab run, search, shrink, show: simulated days");
    System.out.println(
        "lab rig [FILE] [--seed N] [--brokers N]: processes of the program, and faults between them");
    System.out.println(
        "lab explore MODEL [--depth N] [--states N]: every order of words and troubles; MODEL is one of "
            + String.join(", ", Models.names()));
    System.out.println(
        "lab measure NAME [--seed N] [--quick]; NAME is one of "
            + String.join(", ", Measures.names()));
    System.out.println(
        "lab soak [--seeds A-B] [--seconds S]: drawn faults on processes of the program, judged from outside");
    System.out.println(
        "lab floors FILE...: served against wanted, of reports of the acceptance bench");
    return 0;
  }

  @Command(
      name = "measure",
      description = "Prints a table and whether the stated bound was held; exit code 0 only if so.",
      mixinStandardHelpOptions = true)
  static final class Measure implements Callable<Integer> {
    @Parameters(paramLabel = "NAME", description = "what to measure")
    private String name;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "of all that is drawn (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--quick", description = "fewer of everything, within 50 s")
    private boolean quick;

    @Override
    public Integer call() throws Exception {
      return Measures.run(name, seed, quick, System.out) ? 0 : 1;
    }
  }
}

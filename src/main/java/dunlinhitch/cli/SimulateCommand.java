package dunlinhitch.cli;

import dunlinhitch.simulator.SimulatorAdapter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs the load balancer as a decision process of the platform's simulator. */
@Command(
    name = "drill",
    aliases = "simulate",
    description =
        "Runs the load balancer for the simulator: reads the simulator's messages from standard input"
            + " and writes the decisions to standard output.",
    mixinStandardHelpOptions = true)
final class SimulateCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return SimulatorAdapter.serve();
  }
}

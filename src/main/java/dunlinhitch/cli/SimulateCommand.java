package dunlinhitch.cli;

import dunlinhitch.simulator.SimulatorAdapter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Makes the load balancer's decisions for the platform's simulator. */
@Command(
    name = "drill",
    aliases = "simulate",
    description = "Plays the decisions on the simulator's wire, over standard input and output.",
    mixinStandardHelpOptions = true)
final class SimulateCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return SimulatorAdapter.serve();
  }
}

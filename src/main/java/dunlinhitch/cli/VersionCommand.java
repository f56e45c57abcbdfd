package dunlinhitch.cli;

import dunlinhitch.server.BuildVersion;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Prints name and version of this build. */
@Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
final class VersionCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    System.out.println(BuildVersion.TEXT);
    return 0;
  }
}

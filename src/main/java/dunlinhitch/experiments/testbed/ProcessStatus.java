package dunlinhitch.experiments.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Figures that the operating system keeps of a process. */
public final class ProcessStatus {
  private ProcessStatus() {}

  /** Returns the resident memory of a process in KB, 0 if the process has ended. */
  public static long residentKb(long processId) throws IOException {
    return kilobytes(processId, "VmRSS:");
  }

  /** Returns the largest resident memory of a process so far in KB, 0 if the process has ended. */
  public static long peakResidentKb(long processId) throws IOException {
    return kilobytes(processId, "VmHWM:");
  }

  private static long kilobytes(long processId, String field) throws IOException {
    List<String> lines = Files.readAllLines(Path.of("/proc", Long.toString(processId), "status"));
    return lines.stream()
        .filter(line -> line.startsWith(field))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElse(0);
  }
}

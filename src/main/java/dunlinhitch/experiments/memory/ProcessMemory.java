package dunlinhitch.experiments.memory;

import dunlinhitch.experiments.testbed.ProcessStatus;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Samples what a process takes: its resident set and the files below a folder. The peak is that of
 * their sum.
 */
final class ProcessMemory implements AutoCloseable {
  private static final int INTERVAL_MS = 10;
  private static final long KB_PER_MB = 1_024;
  private static final long BYTES_PER_KB = 1_024;

  private final long processId;
  private final Path folder;
  private final Thread thread = new Thread(this::run, "process memory");
  private volatile boolean closed;
  private volatile long peakKb;

  ProcessMemory(long processId, Path folder) {
    this.processId = processId;
    this.folder = folder;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Returns the peak since the start or since the last call, in MB. */
  long takePeakMb() {
    long peakMb = (peakKb + KB_PER_MB - 1) / KB_PER_MB;
    peakKb = 0;
    return peakMb;
  }

  private void run() {
    while (!closed) {
      peakKb = Math.max(peakKb, residentKb() + filesKb());
      try {
        Thread.sleep(INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private long residentKb() {
    try {
      return ProcessStatus.residentKb(processId);
    } catch (IOException e) {
      return 0; // the process has ended
    }
  }

  private long filesKb() {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.mapToLong(ProcessMemory::sizeOf).sum() / BYTES_PER_KB;
    } catch (IOException | UncheckedIOException e) {
      return 0; // a file was removed meanwhile; the next sample counts the rest
    }
  }

  private static long sizeOf(Path file) {
    try {
      return Files.isRegularFile(file) ? Files.size(file) : 0;
    } catch (NoSuchFileException e) {
      return 0;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

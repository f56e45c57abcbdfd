package dunlinhitch.server;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;

/**
 * Detects other running processes of the same broker. Each process holds a lock on its own file in
 * a shared folder; the operating system releases the lock exactly when the process ends, however it
 * ends. A file gets its final name only after it is locked, so a file with the final name but
 * without a lock belongs to a process that has ended.
 *
 * <p>Blocking and not thread-safe; must be used by one worker thread at a time.
 */
final class ProcessLocks implements AutoCloseable {
  private static final String SUFFIX = ".lock";

  private final Path folder;
  private final Path ownFile;
  private FileChannel ownChannel;

  ProcessLocks(Path folder) {
    this.folder = folder;
    ownFile = folder.resolve(UUID.randomUUID() + SUFFIX);
  }

  /** Registers this process by locking its file. */
  void acquire() throws IOException {
    Files.createDirectories(folder);
    Path unlocked = folder.resolve(ownFile.getFileName() + ".new");
    ownChannel =
        FileChannel.open(unlocked, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    ownChannel.lock();
    Files.move(unlocked, ownFile, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Counts the other running processes and removes the files of those that have ended. */
  int countOthers() throws IOException {
    List<Path> others;
    try (Stream<Path> files = Files.list(folder)) {
      others = files.filter(this::isOfAnother).toList();
    }
    int alive = 0;
    for (Path other : others) {
      if (isLocked(other)) {
        alive++;
      } else {
        Files.deleteIfExists(other);
      }
    }
    return alive;
  }

  private boolean isOfAnother(Path file) {
    return file.toString().endsWith(SUFFIX) && !file.equals(ownFile);
  }

  private static boolean isLocked(Path file) throws IOException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
        FileLock lock = channel.tryLock()) {
      return lock == null;
    } catch (OverlappingFileLockException e) {
      return true; // the file is locked by this virtual machine
    } catch (NoSuchFileException e) {
      return false; // another process has removed the file in the meantime
    }
  }

  /** Releases the lock and removes the file of this process. */
  @Override
  public void close() throws IOException {
    if (ownChannel != null) {
      ownChannel.close();
      Files.deleteIfExists(ownFile);
    }
  }
}

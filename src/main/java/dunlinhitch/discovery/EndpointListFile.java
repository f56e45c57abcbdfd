package dunlinhitch.discovery;

import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.EndpointRegistry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;

/**
 * The last known claims on disk, in the form of {@link EndpointListFormat}. Written under another
 * name, forced to the disk and renamed, so that a reader finds the old content or the new one; the
 * folder is forced as well.
 *
 * <p>Blocking: for worker threads and the start of the process. One writer at a time.
 */
public final class EndpointListFile {
  static final String NAME = "roster.state";
  private static final String TEMPORARY_NAME = NAME + ".new";
  private static final String DAMAGED_NAME = NAME + ".damaged";
  private static final int MAX_BYTES = 64 << 20;

  private final Path folder;

  /**
   * The content of a file.
   *
   * @param savedUs when it was written, Unix time in microseconds
   * @param bySource the claims of each source, in the order of the file
   */
  public record Content(long savedUs, Map<String, List<EndpointClaim>> bySource) {}

  /** The file in that folder, which need not exist. */
  public EndpointListFile(Path folder) {
    this.folder = folder;
  }

  /** Where the file is. */
  public Path path() {
    return folder.resolve(NAME);
  }

  /**
   * Replaces the file by the claims among those rows.
   *
   * @throws IOException where it could not be written; the file before it stays then
   */
  public void write(long nowUs, List<EndpointRegistry.Row> rows) throws IOException {
    List<ByteBuffer> content = EndpointListFormat.encode(nowUs, rows);
    Files.createDirectories(folder);
    Path temporary = folder.resolve(TEMPORARY_NAME);
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      for (ByteBuffer piece : content) {
        while (piece.hasRemaining()) {
          channel.write(piece);
        }
      }
      channel.force(true);
    }
    Files.move(
        temporary, path(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    forceFolder();
  }

  /** The new name is an entry of the folder: without this a crash may bring the old file back. */
  private void forceFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /**
   * Reads the file; null where there is none. A claim reported after {@code nowUs} (the clock was
   * set back) counts as reported now.
   *
   * @throws IOException where it can not be read; a damaged file is renamed, and the exception's
   *     message is a line for the log
   */
  public Content read(long nowUs) throws IOException {
    if (!Files.exists(path())) {
      return null;
    }
    try {
      if (Files.size(path()) > MAX_BYTES) {
        throw new IllegalArgumentException("larger than " + MAX_BYTES + " bytes");
      }
      return EndpointListFormat.decode(nowUs, Files.readAllBytes(path()));
    } catch (RuntimeException e) { // the JSON library throws several kinds for damaged content
      Path damaged = folder.resolve(DAMAGED_NAME);
      Files.move(path(), damaged, StandardCopyOption.REPLACE_EXISTING);
      throw new IOException(
          "the last known state can not be used ("
              + e.getMessage()
              + ") and was set aside as "
              + damaged,
          e);
    }
  }
}

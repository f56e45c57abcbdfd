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
 * Stores the last known endpoint claims on disk, encoded by {@link EndpointListFormat}. The file is
 * written under a temporary name, synced and renamed, so that a reader sees either the complete old
 * content or the complete new content. The directory is synced as well.
 *
 * <p>Blocks on disk I/O: call it on a worker thread or during startup. Only one writer may be
 * active at a time.
 */
public final class EndpointListFile {
  static final String NAME = "roster.state";
  private static final String TEMPORARY_NAME = NAME + ".new";
  private static final String DAMAGED_NAME = NAME + ".damaged";
  private static final int MAX_BYTES = 64 << 20;

  private final Path folder;

  /**
   * Content of the file.
   *
   * @param savedUs time of the write, in Unix microseconds
   * @param bySource the claims of each source, in the order of the file
   */
  public record Content(long savedUs, Map<String, List<EndpointClaim>> bySource) {}

  /** Creates an accessor for the file in {@code folder}; neither needs to exist yet. */
  public EndpointListFile(Path folder) {
    this.folder = folder;
  }

  /** Returns the path of the file. */
  public Path path() {
    return folder.resolve(NAME);
  }

  /**
   * Replaces the content of the file with the claims contained in {@code rows}.
   *
   * @throws IOException if the file cannot be written; the previous file is kept
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

  /** Syncs the directory: without this a crash could undo the rename and restore the old file. */
  private void forceFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /**
   * Reads the file, or returns null if it does not exist. If the clock was set back, a claim may
   * have a report time after {@code nowUs}; such a claim is treated as reported at {@code nowUs}.
   *
   * @throws IOException if the file cannot be read; a damaged file is renamed, and the message is
   *     suitable for the log
   */
  public Content read(long nowUs) throws IOException {
    if (!Files.exists(path())) {
      return null;
    }
    try {
      if (Files.size(path()) > MAX_BYTES) {
        throw new IllegalArgumentException("the file is larger than " + MAX_BYTES + " bytes");
      }
      return EndpointListFormat.decode(nowUs, Files.readAllBytes(path()));
    } catch (RuntimeException e) {
      // The JSON library throws various unchecked exceptions for malformed content.
      Path damaged = folder.resolve(DAMAGED_NAME);
      Files.move(path(), damaged, StandardCopyOption.REPLACE_EXISTING);
      throw new IOException(
          "stored endpoint list is unusable ("
              + e.getMessage()
              + ") and was set aside as "
              + damaged,
          e);
    }
  }
}

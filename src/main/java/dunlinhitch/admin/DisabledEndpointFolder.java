package dunlinhitch.admin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

/**
 * Folder that stores the ids of administratively disabled endpoints, one empty file for each, named
 * by the id in URL-safe base64 without padding.
 *
 * <p>The folder may be shared by overlapping processes of one broker: since each id is a file of
 * its own, no process can overwrite what another one stored. Changes by other processes are
 * reported to the listener; those made through this object are not.
 *
 * <p>File accesses run one at a time on the worker pool, in the order of the calls. All methods
 * must be called, and the listener is notified, on the same event-loop thread.
 */
public final class DisabledEndpointFolder {
  private static final long POLL_INTERVAL_MS = 50;

  private record Change(Set<String> disabled, Set<String> enabled) {
    boolean isEmpty() {
      return disabled.isEmpty() && enabled.isEmpty();
    }
  }

  private final Vertx vertx;
  private final Path folder;
  private final BiConsumer<Set<String>, Set<String>> listener;

  /** Ids that the folder is known to contain; accessed only by tasks on the worker pool. */
  private final Set<String> storedIds = new HashSet<>();

  private boolean polling;

  /**
   * Creates an instance; {@link #start} reads the folder.
   *
   * @param vertx runs the file operations
   * @param folder the folder, or null to persist nothing
   * @param listener receives the ids that were disabled and those that were enabled
   */
  public DisabledEndpointFolder(
      Vertx vertx, Path folder, BiConsumer<Set<String>, Set<String>> listener) {
    this.vertx = vertx;
    this.folder = folder;
    this.listener = listener;
  }

  /**
   * Reads the folder and creates it if necessary.
   *
   * @param shared whether to poll the folder for changes by other processes from now on
   * @return whether the folder existed, which means that another process of this broker has used it
   */
  public Future<Boolean> start(boolean shared) {
    if (folder == null) {
      return Future.succeededFuture(false);
    }
    if (shared) {
      vertx.setPeriodic(POLL_INTERVAL_MS, timer -> poll());
    }
    Future<Boolean> existed =
        vertx.executeBlocking(
            () -> {
              boolean found = Files.isDirectory(folder);
              Files.createDirectories(folder);
              return found;
            });
    return existed.compose(found -> poll().map(found));
  }

  /**
   * Stores that an endpoint was disabled or enabled.
   *
   * @return completes when the change is stored
   */
  public Future<Void> persist(String id, boolean disabled) {
    if (folder == null) {
      return Future.succeededFuture();
    }
    return vertx.executeBlocking(
        () -> {
          store(id, disabled);
          return null;
        });
  }

  private void store(String id, boolean disabled) throws IOException {
    Path file = folder.resolve(fileNameOf(id));
    if (disabled) {
      Files.write(file, new byte[0]);
      storedIds.add(id);
    } else {
      Files.deleteIfExists(file);
      storedIds.remove(id);
    }
  }

  private Future<Void> poll() {
    if (polling) {
      return Future.succeededFuture();
    }
    polling = true;
    return vertx
        .executeBlocking(this::readChange)
        .onComplete(done -> polling = false)
        .map(
            change -> {
              if (!change.isEmpty()) {
                listener.accept(change.disabled(), change.enabled());
              }
              return null;
            });
  }

  private Change readChange() throws IOException {
    Set<String> currentIds = readIds();
    Change change =
        new Change(difference(currentIds, storedIds), difference(storedIds, currentIds));
    storedIds.addAll(change.disabled());
    storedIds.removeAll(change.enabled());
    return change;
  }

  private static Set<String> difference(Set<String> ids, Set<String> excluded) {
    Set<String> remaining = new HashSet<>(ids);
    remaining.removeAll(excluded);
    return remaining;
  }

  private Set<String> readIds() throws IOException {
    Set<String> ids = new HashSet<>();
    try (Stream<Path> files = Files.list(folder)) {
      files.forEach(file -> addId(ids, file.getFileName().toString()));
    }
    return ids;
  }

  private static void addId(Set<String> ids, String fileName) {
    try {
      ids.add(new String(Base64.getUrlDecoder().decode(fileName), StandardCharsets.UTF_8));
    } catch (IllegalArgumentException e) {
      // ignores a file that was not written by a broker
    }
  }

  /** Encodes an id, which may contain any character, as a portable file name. */
  private static String fileNameOf(String id) {
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(id.getBytes(StandardCharsets.UTF_8));
  }
}

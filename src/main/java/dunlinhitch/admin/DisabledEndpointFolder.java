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
 * The ids of the stores that are out by hand, each as a file of its own: two processes of a broker
 * share the folder, and neither can undo what the other wrote. What this process wrote itself is no
 * news to it. Files are touched on one worker thread, in the order asked.
 */
public final class DisabledEndpointFolder {
  private record Change(Set<String> out, Set<String> back) {}

  private static final long LOOK_AFTER_MS = 50;
  private final Vertx vertx;
  private final Path folder;

  /** Ids out, ids back. */
  private final BiConsumer<Set<String>, Set<String>> news;

  /** What the folder held when it was last looked at; only the worker touches it. */
  private final Set<String> seen = new HashSet<>();

  private boolean looking;

  /** {@code folder} null: nothing is kept beyond this process. */
  public DisabledEndpointFolder(
      Vertx vertx, Path folder, BiConsumer<Set<String>, Set<String>> news) {
    this.vertx = vertx;
    this.folder = folder;
    this.news = news;
  }

  /**
   * Reads what was left here; {@code shared}: and from now on what another process changes. The
   * result is whether another process of this broker was here before.
   */
  public Future<Boolean> start(boolean shared) {
    if (folder == null) {
      return Future.succeededFuture(false);
    }
    if (shared) {
      vertx.setPeriodic(LOOK_AFTER_MS, t -> look());
    }
    Future<Boolean> before =
        vertx.executeBlocking(
            () -> {
              boolean found = Files.isDirectory(folder);
              Files.createDirectories(folder);
              return found;
            });
    return before.compose(found -> look().map(found));
  }

  /** Over when it is kept. */
  public Future<Void> keep(String id, boolean out) {
    return folder == null
        ? Future.succeededFuture()
        : vertx.executeBlocking(
            () -> {
              Path file = folder.resolve(name(id));
              if (out) {
                Files.write(file, new byte[0]);
                seen.add(id);
              } else {
                Files.deleteIfExists(file);
                seen.remove(id);
              }
              return null;
            });
  }

  private Future<Void> look() {
    if (looking) {
      return Future.succeededFuture();
    }
    looking = true;
    return vertx
        .executeBlocking(
            () -> {
              Set<String> now = list();
              Change change = new Change(minus(now, seen), minus(seen, now));
              seen.addAll(change.out());
              seen.removeAll(change.back());
              return change;
            })
        .onComplete(done -> looking = false)
        .map(
            change -> {
              if (!change.out().isEmpty() || !change.back().isEmpty()) {
                news.accept(change.out(), change.back());
              }
              return null;
            });
  }

  private static Set<String> minus(Set<String> some, Set<String> others) {
    Set<String> left = new HashSet<>(some);
    left.removeAll(others);
    return left;
  }

  private Set<String> list() throws IOException {
    Set<String> ids = new HashSet<>();
    try (Stream<Path> files = Files.list(folder)) {
      files.forEach(
          file -> {
            try {
              ids.add(
                  new String(
                      Base64.getUrlDecoder().decode(file.getFileName().toString()),
                      StandardCharsets.UTF_8));
            } catch (IllegalArgumentException e) {
              // a file of somebody else's
            }
          });
    }
    return ids;
  }

  /** An id may hold any sign; a file's name may not. */
  private static String name(String id) {
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(id.getBytes(StandardCharsets.UTF_8));
  }
}

package dunlinhitch.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The storage format of disabled endpoints, which must stay compatible with other releases. */
class DisabledEndpointFolderTest {
  /** File names as stored: ids in URL-safe base64 without padding. */
  private static final String FILE_OF_S3 = "cy0z";

  private static final String FILE_OF_PATH_LIKE_ID = "Li4vYiBj";
  private static final String FILE_OF_NON_ASCII_ID = "w7wvPz8_";

  @TempDir private Path parent;
  private final Vertx vertx = Vertx.vertx();
  private final Set<String> disabled = ConcurrentHashMap.newKeySet();
  private final Set<String> enabled = ConcurrentHashMap.newKeySet();

  @AfterEach
  void closeVertx() throws Exception {
    await(vertx.close());
  }

  private DisabledEndpointFolder open(Path folder) {
    return new DisabledEndpointFolder(
        vertx,
        folder,
        (disabledIds, enabledIds) -> {
          disabled.addAll(disabledIds);
          enabled.addAll(enabledIds);
        });
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  private static Set<String> fileNames(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).collect(Collectors.toSet());
    }
  }

  @Test
  void readsStorageFormat() throws Exception {
    Path folder = Files.createDirectory(parent.resolve("disabled"));
    for (String name : Set.of(FILE_OF_S3, FILE_OF_PATH_LIKE_ID, FILE_OF_NON_ASCII_ID)) {
      Files.write(folder.resolve(name), new byte[0]);
    }
    Files.write(folder.resolve("not an id!"), new byte[0]);
    assertTrue(await(open(folder).start(false)), "the folder existed");
    assertEquals(Set.of("s-3", "../b c", "ü/???"), new HashSet<>(disabled));
    assertEquals(Set.of(), new HashSet<>(enabled));
  }

  @Test
  void writesStorageFormat() throws Exception {
    Path folder = parent.resolve("new").resolve("disabled");
    DisabledEndpointFolder store = open(folder);
    assertFalse(await(store.start(false)), "the folder did not exist");
    await(store.persist("s-3", true));
    await(store.persist("../b c", true));
    await(store.persist("ü/???", true));
    assertEquals(Set.of(FILE_OF_S3, FILE_OF_PATH_LIKE_ID, FILE_OF_NON_ASCII_ID), fileNames(folder));
    assertEquals(0, Files.size(folder.resolve(FILE_OF_S3)));
    await(store.persist("s-3", false));
    assertEquals(Set.of(FILE_OF_PATH_LIKE_ID, FILE_OF_NON_ASCII_ID), fileNames(folder));
    assertEquals(Set.of(), new HashSet<>(disabled), "own changes are not reported");
  }

  @Test
  void storesNothingWithoutAFolder() throws Exception {
    DisabledEndpointFolder store = open(null);
    assertFalse(await(store.start(true)));
    await(store.persist("s-3", true));
    assertEquals(Set.of(), fileNames(parent));
  }
}

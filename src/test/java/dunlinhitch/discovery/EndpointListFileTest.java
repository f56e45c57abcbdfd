package dunlinhitch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.EndpointStatus;
import dunlinhitch.endpoints.StatusReason;
import dunlinhitch.endpoints.TimingWheel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads and writes the stored claims; the format must remain compatible. */
class EndpointListFileTest {
  /** A file written by versions from before the endpoint registry was split. */
  private static final String STORED =
      "dunlinhitch-roster 1 1073b09055e36af251f2abcb1c9af8917741a7163125c9ea0265a4b26d305fd4\n"
          + "{\"saved\":1700000010000000,\"claims\":["
          + "{\"source\":\"dns\",\"key\":\"s-1/a\",\"id\":\"s-1\",\"host\":\"127.0.0.1\","
          + "\"port\":7001,\"zone\":0,\"cell\":3,\"state\":\"READY\",\"weight\":1,"
          + "\"start\":1700000000000000,\"wire\":\"FRAMES\",\"phases\":2,"
          + "\"heard\":1700000002000000,\"until\":1700000060000000},"
          + "{\"source\":\"push\",\"key\":\"s-2/ü\\\"\",\"id\":\"s-2\",\"host\":\"host.example\","
          + "\"port\":7002,\"zone\":1,\"cell\":0,\"state\":\"DRAINING\",\"weight\":0.5,"
          + "\"start\":0,\"wire\":\"FLIGHT\",\"phases\":1,"
          + "\"heard\":1700000003000000,\"until\":1700000070000000}]}";

  private static final long NEVER_US = TimingWheel.NEVER;
  private static final long SAVED_US = 1_700_000_010_000_000L;
  private static final long UNBOUNDED_EXPIRY_US = 1_700_000_070_000_000L;

  private static final Endpoint READY =
      new Endpoint(
          "s-1",
          "127.0.0.1",
          7001,
          0,
          3,
          ServerState.READY,
          1,
          1_700_000_000_000_000L,
          Endpoint.Protocol.FRAMES,
          2);

  private static final Endpoint DRAINING =
      new Endpoint(
          "s-2",
          "host.example",
          7002,
          1,
          0,
          ServerState.DRAINING,
          0.5,
          0,
          Endpoint.Protocol.FLIGHT,
          1);

  private static final EndpointClaim READY_CLAIM =
      new EndpointClaim("s-1/a", READY, 1_700_000_002_000_000L, 1_700_000_060_000_000L);

  private static final EndpointClaim DRAINING_CLAIM =
      new EndpointClaim("s-2/ü\"", DRAINING, 1_700_000_003_000_000L, UNBOUNDED_EXPIRY_US);

  @TempDir private Path folder;

  private EndpointListFile stored(String content) throws IOException {
    EndpointListFile file = new EndpointListFile(folder);
    Files.writeString(file.path(), content);
    return file;
  }

  @Test
  void aFileOfTheOldVersionIsRead() throws IOException {
    EndpointListFile.Content content = stored(STORED).read(SAVED_US);
    assertEquals(SAVED_US, content.savedUs());
    assertEquals(
        Map.of("dns", List.of(READY_CLAIM), "push", List.of(DRAINING_CLAIM)), content.bySource());
    assertEquals(List.of("dns", "push"), List.copyOf(content.bySource().keySet()));
  }

  @Test
  void theStoredFormIsThatOfTheOldVersion() throws IOException {
    EndpointRegistry.Row ready =
        row(
            "s-1",
            READY,
            "dns",
            READY_CLAIM.key(),
            READY_CLAIM.reportedUs(),
            READY_CLAIM.expiresUs());
    EndpointRegistry.Row unbounded =
        row("s-2", DRAINING, "push", DRAINING_CLAIM.key(), DRAINING_CLAIM.reportedUs(), NEVER_US);
    EndpointRegistry.Row withoutClaim = row("s-3", DRAINING, "", "", 1, NEVER_US);
    EndpointListFile file = new EndpointListFile(folder.resolve("new"));
    file.write(SAVED_US, List.of(ready, unbounded, withoutClaim));
    assertEquals("roster.state", file.path().getFileName().toString());
    assertEquals(STORED, Files.readString(file.path()));
    assertEquals(List.of(file.path()), files(folder.resolve("new")));
  }

  private static EndpointRegistry.Row row(
      String name, Endpoint endpoint, String source, String key, long reportedUs, long expiresUs) {
    return new EndpointRegistry.Row(
        name,
        EndpointStatus.LIVE,
        StatusReason.CLAIMED,
        endpoint,
        source,
        key,
        reportedUs,
        reportedUs,
        expiresUs,
        false);
  }

  private static List<Path> files(Path folder) throws IOException {
    try (var paths = Files.list(folder)) {
      return paths.toList();
    }
  }

  /** If the clock was set back, the claim is treated as reported now, with its full lifetime. */
  @Test
  void claimsFromTheFutureAreTreatedAsReportedNow() throws IOException {
    long nowUs = DRAINING_CLAIM.reportedUs() - 500_000;
    EndpointClaim claim = stored(STORED).read(nowUs).bySource().get("push").get(0);
    assertEquals(nowUs, claim.reportedUs());
    assertEquals(UNBOUNDED_EXPIRY_US - 500_000, claim.expiresUs());
  }

  @Test
  void aMissingFileIsReadAsNull() throws IOException {
    assertNull(new EndpointListFile(folder).read(SAVED_US));
  }

  @Test
  void damagedFilesAreSetAside() throws IOException {
    for (String content :
        List.of("", "{}", STORED.replace("7001", "7003"), STORED.replace("roster 1", "roster 2"))) {
      EndpointListFile file = stored(content);
      IOException thrown = assertThrows(IOException.class, () -> file.read(SAVED_US));
      assertTrue(thrown.getMessage().contains("set aside"), thrown.getMessage());
      assertFalse(Files.exists(file.path()));
      assertEquals(content, Files.readString(folder.resolve("roster.state.damaged")));
    }
  }
}

package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Claims of query ids by several processes, each with its own mapping of the file. */
class SharedQueryIdsTest {
  private static final long SECOND = 1_000_000;
  private static final long NOW = 1_000 * SECOND;

  /** Number of ids that two processes claim at the same time. */
  private static final int CROSSING_IDS = 20_000;

  @TempDir Path folder;

  /** Guards against an id that two processes claim one after the other. */
  @Test
  void anIdIsClaimedOnce() throws Exception {
    SharedQueryIds old = SharedQueryIds.open(folder);
    assertTrue(old.claim("a", NOW, NOW + SECOND));
    SharedQueryIds next = SharedQueryIds.open(folder);
    assertFalse(next.claim("a", NOW, NOW + SECOND));
    assertFalse(old.claim("a", NOW, NOW + SECOND));
    assertTrue(next.claim("b", NOW, NOW + SECOND));
    assertFalse(old.claim("b", NOW, NOW + SECOND));
  }

  /** Guards against claims that are lost with the process that made them. */
  @Test
  void aProcessThatStartsLaterSeesTheClaimsOfAnEndedOne() throws Exception {
    SharedQueryIds.open(folder).claim("a", NOW, NOW + SECOND);
    assertFalse(SharedQueryIds.open(folder).claim("a", NOW, NOW + SECOND));
  }

  @Test
  void aClaimExpires() throws Exception {
    SharedQueryIds ids = SharedQueryIds.open(folder);
    ids.claim("a", NOW, NOW + SECOND);
    assertFalse(ids.claim("a", NOW + SECOND - 1, NOW + 2 * SECOND));
    assertTrue(ids.claim("a", NOW + SECOND + SharedQueryIds.RESOLUTION_US, NOW + 2 * SECOND));
  }

  /** Guards against ids that are refused for ever because the clock began anew with the machine. */
  @Test
  void aClaimFromBeforeARebootIsIgnored() throws Exception {
    SharedQueryIds ids = SharedQueryIds.open(folder);
    ids.claim("a", NOW, NOW + SECOND);
    assertTrue(ids.claim("a", 5 * SECOND, 6 * SECOND));
  }

  /** Guards against a release that frees the claim of another process. */
  @Test
  void onlyTheOwnerReleasesAClaim() throws Exception {
    SharedQueryIds owner = SharedQueryIds.open(folder);
    SharedQueryIds other = SharedQueryIds.open(folder);
    owner.claim("a", NOW, NOW + SECOND);
    other.release("a", NOW);
    assertFalse(other.claim("a", NOW, NOW + SECOND));
    owner.release("a", NOW);
    assertTrue(other.claim("a", NOW, NOW + SECOND));
  }

  /**
   * Guards against two claims that cross: the first process has taken its slot and stands still
   * while the second one claims the same id.
   */
  @Test
  void aProcessThatStandsStillWithinAClaimYieldsToTheOther() throws Exception {
    SharedQueryIds other = SharedQueryIds.open(folder);
    SharedQueryIds stopped =
        SharedQueryIds.open(folder, () -> assertTrue(other.claim("a", NOW, NOW + SECOND)));
    assertFalse(stopped.claim("a", NOW, NOW + SECOND));
    assertFalse(SharedQueryIds.open(folder).claim("a", NOW, NOW + SECOND));
  }

  /** Guards against a table that is full: the claim that expires first is given up. */
  @Test
  void theClaimThatExpiresFirstIsForgottenInAFullBucket() throws Exception {
    SharedQueryIds ids = SharedQueryIds.open(folder);
    List<String> sameBucket =
        IntStream.iterate(0, i -> i + 1)
            .mapToObj(Integer::toString)
            .filter(id -> bucket(id) == bucket("0"))
            .limit(SharedQueryIds.SLOTS_PER_BUCKET + 1)
            .toList();
    for (int i = 0; i < sameBucket.size(); i++) {
      assertTrue(ids.claim(sameBucket.get(i), NOW, NOW + (i + 1) * SECOND));
    }
    for (int i = 1; i < sameBucket.size(); i++) {
      assertFalse(ids.claim(sameBucket.get(i), NOW, NOW + SECOND));
    }
    assertTrue(ids.claim(sameBucket.get(0), NOW, NOW + SECOND));
  }

  private static int bucket(String id) {
    return SharedQueryIds.bucketOf(SharedQueryIds.hash(id));
  }

  /** Guards against a file of another size, which could not be read without a fault. */
  @Test
  void aFileOfAnotherSizeIsAnError() throws Exception {
    SharedQueryIds.open(folder);
    try (Stream<Path> files = Files.list(folder)) {
      Files.write(files.findFirst().orElseThrow(), new byte[100]);
    }
    assertThrows(IOException.class, () -> SharedQueryIds.open(folder));
  }

  /** Guards against an id that two processes claim at the same time, with two virtual machines. */
  @Test
  void crossingClaimsOfTwoProcessesNeverBothSucceed() throws Exception {
    Process other =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Claimer.class.getName(),
                folder.toString())
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    try (var lines = other.inputReader(StandardCharsets.UTF_8)) {
      assertEquals("ready", lines.readLine());
      other.getOutputStream().write('\n');
      other.getOutputStream().flush();
      Set<String> own = Claimer.claimAll(SharedQueryIds.open(folder));
      Set<String> others = new HashSet<>(List.of(lines.readLine().split(" ")));
      assertTrue(other.waitFor(20, TimeUnit.SECONDS));
      others.retainAll(own);
      assertEquals(Set.of(), others);
    } finally {
      other.destroyForcibly();
    }
  }

  /** Claims ids in a process of its own and prints those that it got. */
  static final class Claimer {
    private Claimer() {}

    /** Waits for a line, then claims the ids in the folder. */
    public static void main(String[] arguments) throws IOException {
      SharedQueryIds ids = SharedQueryIds.open(Path.of(arguments[0]));
      System.out.println("ready");
      System.in.read();
      System.out.println(String.join(" ", claimAll(ids)));
    }

    static Set<String> claimAll(SharedQueryIds ids) {
      Set<String> claimed = new HashSet<>();
      for (int i = 0; i < CROSSING_IDS; i++) {
        if (ids.claim("id" + i, NOW, NOW + 60 * SECOND)) {
          claimed.add("id" + i);
        }
      }
      return claimed;
    }
  }
}

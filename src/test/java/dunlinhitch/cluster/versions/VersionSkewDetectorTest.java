package dunlinhitch.cluster.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dunlinhitch.cluster.versions.SkewVerdict.Kind;
import dunlinhitch.cluster.versions.SkewVerdict.Step;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class VersionSkewDetectorTest {
  private static final long SECOND_US = 1_000_000;
  private static final VersionVector OLD = new VersionVector("b1", "aaaa", 1_000, 5);
  private static final VersionVector NEW = new VersionVector("b1", "bbbb", 2_000, 1);
  private final VersionSkewDetector detector =
      new VersionSkewDetector(VersionSkewSettings.STANDARD, "n0", OLD);
  private final List<SkewVerdict> verdicts = new ArrayList<>();

  private List<String> advance(long fromUs, long toUs) {
    List<String> steps = new ArrayList<>();
    for (long now = fromUs; now < toUs; now += SECOND_US / 10) {
      for (SkewVerdict verdict : detector.verdicts(now)) {
        verdicts.add(verdict);
        steps.add(verdict.broker() + " " + verdict.kind() + " " + verdict.step());
      }
    }
    return steps;
  }

  @Test
  void outdatedBrokerIsReportedFencedAndReadmitted() {
    detector.onVersions(0, "n1", OLD);
    detector.onVersions(0, "n2", NEW);
    detector.onVersions(0, "n0", NEW);
    detector.onMemberLeft(0, "n1");
    detector.onVersions(5 * SECOND_US, "n1", OLD);
    assertEquals(List.of(), advance(0, 5 * SECOND_US));
    assertEquals(List.of(), advance(5 * SECOND_US, 5 * SECOND_US + 1_400_000));
    assertEquals(List.of("n1 SETTINGS SEEN"), advance(5 * SECOND_US + 1_400_000, 14 * SECOND_US));
    assertEquals(
        new SkewVerdict("n1", Kind.SETTINGS, Step.SEEN, "aaaa", "bbbb", 1_500_000),
        verdicts.get(0));
    assertEquals(List.of("n1 SETTINGS SHUT_OUT"), advance(14 * SECOND_US, 20 * SECOND_US));
    assertEquals(Set.of("n1"), detector.fenced());
    detector.onVersions(20 * SECOND_US, "n1", NEW);
    assertEquals(List.of("n1 SETTINGS LET_IN"), advance(20 * SECOND_US, 25 * SECOND_US));
    assertEquals(Set.of(), detector.fenced());
  }

  /**
   * An outdated broker reloads the list from its source every second until it has the newer
   * version.
   */
  @Test
  void outdatedBrokerRefreshesAndThenFencesItself() {
    detector.onVersions(0, "n1", OLD.withEndpointListGeneration(6));
    detector.onVersions(0, "n2", OLD.withEndpointListGeneration(6));
    List<String> steps = advance(0, 4 * SECOND_US);
    assertEquals(
        List.of("n0 ROSTER SEEN", "n0 ROSTER BRING_UP", "n0 ROSTER BRING_UP", "n0 ROSTER BRING_UP"),
        steps);
    steps = advance(4 * SECOND_US, 11 * SECOND_US);
    assertEquals(1, steps.stream().filter("n0 ROSTER SHUT_OUT"::equals).count());
    assertEquals(Set.of("n0"), detector.fenced());
    detector.onVersions(11 * SECOND_US, "n0", OLD.withEndpointListGeneration(6));
    assertEquals(List.of("n0 ROSTER LET_IN"), advance(11 * SECOND_US, 12 * SECOND_US));
  }

  /**
   * Brokers get new settings one after the other, one minute apart. No broker is fenced before more
   * than half of them have the new settings.
   */
  @Test
  void slowRolloutFencesNoBroker() {
    for (int i = 1; i < 8; i++) {
      detector.onVersions(0, "n" + i, OLD);
    }
    for (int i = 1; i <= 4; i++) {
      detector.onVersions(i * 60L * SECOND_US, "n" + i, NEW);
      List<String> steps = advance(i * 60L * SECOND_US, (i + 1) * 60L * SECOND_US);
      assertEquals(
          List.of(), steps.stream().filter(verdict -> verdict.endsWith("SHUT_OUT")).toList());
    }
    detector.onVersions(300 * SECOND_US, "n5", NEW);
    List<String> steps = advance(300 * SECOND_US, 360 * SECOND_US);
    assertEquals(
        Set.of("n0 SETTINGS SHUT_OUT", "n6 SETTINGS SHUT_OUT", "n7 SETTINGS SHUT_OUT"),
        Set.copyOf(steps.stream().filter(verdict -> verdict.endsWith("SHUT_OUT")).toList()));
  }

  @Test
  void rolloutWithinTheBoundReportsNoBroker() {
    for (int i = 1; i < 8; i++) {
      detector.onVersions(0, "n" + i, OLD);
    }
    for (int i = 0; i < 8; i++) {
      detector.onVersions(i * 150_000L, "n" + i, NEW);
    }
    assertEquals(List.of(), advance(8 * 150_000L, 60 * SECOND_US));
  }

  /**
   * Generations are not compared between brokers with different settings, because each discovery
   * service numbers its lists independently.
   */
  @Test
  void endpointListsAreComparedWithinTheSameSettingsOnly() {
    detector.onVersions(0, "n1", NEW.withEndpointListGeneration(90));
    List<String> steps = advance(0, 3 * SECOND_US);
    assertEquals(Set.of("n0 SETTINGS SEEN", "n0 SETTINGS BRING_UP"), Set.copyOf(steps));
  }

  /**
   * A reordered announcement is ignored. The announcement of a restarted broker without a list is
   * accepted.
   */
  @Test
  void reorderedAnnouncementIsIgnored() {
    detector.onVersions(0, "n1", OLD.withEndpointListGeneration(9));
    detector.onVersions(1, "n1", OLD.withEndpointListGeneration(8));
    assertEquals(9, detector.versionsByBroker().get("n1").endpointListGeneration());
    detector.onMemberLeft(2, "n1");
    detector.onVersions(3, "n1", OLD.withEndpointListGeneration(0));
    assertEquals(0, detector.versionsByBroker().get("n1").endpointListGeneration());
  }

  @Test
  void versionsOfABrokerThatLeftAreIgnored() {
    detector.onVersions(0, "n1", NEW);
    advance(0, 2 * SECOND_US);
    detector.onMemberLeft(2 * SECOND_US, "n1");
    assertEquals(List.of("n0 SETTINGS CAUGHT_UP"), advance(2 * SECOND_US, 20 * SECOND_US));
  }

  @Test
  void invalidSettingsAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new VersionSkewSettings(SECOND_US, SECOND_US, SECOND_US));
    assertThrows(
        IllegalArgumentException.class, () -> new VersionSkewSettings(0, SECOND_US, SECOND_US));
    assertThrows(IllegalArgumentException.class, () -> new VersionVector("", "a", 0, 0));
  }
}

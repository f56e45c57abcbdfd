package dunlinhitch.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.testbed.ViewBounds;
import dunlinhitch.experiments.testbed.ViewWorld;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The hard cases of docs/view.md on virtual time; each with several seeds. */
class MembershipProtocolTest {
  private static final long S = 1_000_000;
  private static final MembershipProtocolSettings SETTINGS = MembershipProtocolSettings.STANDARD;

  private static ViewWorld settled(long seed, int brokers, double loss) {
    ViewWorld world = new ViewWorld(seed, loss, SETTINGS);
    world.start(0, brokers);
    settles(world, ViewBounds.joinUs(SETTINGS, brokers));
    world.play(S);
    return world;
  }

  /** All agree within the bound, and know it some rounds later. */
  private static void settles(ViewWorld world, long boundUs) {
    long tookUs = world.untilAgree(boundUs);
    assertTrue(tookUs >= 0, () -> "no one view within " + boundUs + " us: " + lines(world));
    assertTrue(
        world.untilSettled(boundUs + 5 * S) >= 0, () -> "not known to be settled: " + lines(world));
  }

  private static String lines(ViewWorld world) {
    StringBuilder lines = new StringBuilder();
    world
        .nodes()
        .forEach(
            n ->
                lines
                    .append('\n')
                    .append(n.name)
                    .append(": ")
                    .append(n.view().now().line(world.nowUs(), 40)));
    return lines.toString();
  }

  private static long join(int brokers) {
    return ViewBounds.joinUs(SETTINGS, brokers);
  }

  private static long die(int brokers) {
    return ViewBounds.dieUs(SETTINGS, brokers);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void oneThatIsMuteOrDeafHarmsNobodyAndComesBack(long seed) {
    for (boolean mute : new boolean[] {true, false}) {
      ViewWorld world = settled(seed, 8, 0);
      List<ViewWorld.Node> others = world.nodes().subList(1, 8);
      ViewWorld.Node one = world.node(0);
      world.cut((from, to) -> (mute ? from : to) == one);
      world.play(die(8));
      assertTrue(
          ViewWorld.agree(others), "the others go on without it, mute " + mute + lines(world));
      assertTrue(one.view().now().alone(), "it knows that it is cut off");
      assertEquals(8, one.view().now().members().size(), "and holds on to what it knew");
      assertFalse(one.view().now().isSettled());
      world.cut((from, to) -> false);
      settles(world, join(8));
    }
  }

  /** Without helpers, and with one try, two would take each other for dead. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void twoThatAreCutFromEachOtherAndBothReachAThirdStay(long seed) {
    for (int brokers : new int[] {3, 9}) {
      ViewWorld world = settled(seed, brokers, 0);
      Set<ViewWorld.Node> two = Set.of(world.node(0), world.node(1));
      world.cut((from, to) -> two.contains(from) && two.contains(to));
      world.play(20 * S);
      assertTrue(world.agree(), lines(world));
      assertEquals(0, world.falseDeaths());
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aCutThatFlapsWithTheSuspicionTakesNoOtherAlongAndEnds(long seed) {
    ViewWorld world = settled(seed, 8, 0.02);
    ViewWorld.Node one = world.node(7);
    List<ViewWorld.Node> others = world.nodes().subList(0, 7);
    long period = SETTINGS.suspectUs();
    for (int i = 0; i < 20; i++) {
      boolean on = i % 2 == 0;
      world.cut((from, to) -> on && (from == one || to == one));
      world.play(period);
      others.forEach(node -> assertTrue(node.view().now().names().size() >= 7, node.name));
    }
    settles(world, join(8));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void sevenInTenKilledAndBackAtOnce(long seed) {
    ViewWorld world = settled(seed, 30, 0.05);
    for (int i = 9; i < 30; i++) {
      world.kill(i);
    }
    for (int i = 9; i < 30; i++) {
      world.restart(i, 0);
    }
    settles(world, join(30));
    for (int i = 0; i < 21; i++) {
      world.kill(i);
    }
    settles(world, die(30));
  }

  /** In each half some went away, came back and moved; what the halves say of them is merged. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void twoHalvesThatEachRestartedMembersAreOneAgain(long seed) {
    ViewWorld world = settled(seed, 12, 0.02);
    world.cut((from, to) -> ViewWorld.number(from) % 2 != ViewWorld.number(to) % 2);
    world.play(die(12));
    for (int i = 0; i < 4; i++) {
      world.restart(i, 0);
    }
    world.move(4, 0);
    world.kill(5);
    world.play(die(12));
    world.cut((from, to) -> false);
    settles(world, join(12));
  }

  /**
   * The later start bears it; the earlier stands back, knows it, and takes it back when the other
   * ends.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aNameThatIsTakenTwice(long seed) {
    ViewWorld world = settled(seed, 6, 0.02);
    ViewWorld.Node first = world.node(3);
    ViewWorld.Node second = world.start("n3", 20, world.incarnation(0));
    settles(world, join(7));
    assertNotNull(first.view().now().displacedBy());
    assertNull(second.view().now().displacedBy());
    assertEquals(
        1,
        world.nodes().get(0).view().now().members().stream()
            .filter(m -> m.peer().port() == 7020)
            .count());
    world.kill(20);
    world.play(die(7)); // till then all hold the address of the other
    settles(world, join(7));
    assertNull(first.view().now().displacedBy());
    long tie = world.incarnation(5_000);
    world.start("n9", 30, tie);
    world.start("n9", 31, tie);
    settles(world, join(8));
    assertNotNull(
        world.node(30).view().now().displacedBy(),
        "of two that began at once the higher address has it");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void addressesThatMoveAndClocksThatAreSetBack(long seed) {
    ViewWorld world = settled(seed, 8, 0.02);
    world.move(2, 0);
    settles(world, join(8));
    world.restart(3, -86_400_000);
    settles(world, join(8));
    assertTrue(
        world.node(3).view().self().incarnation() > world.incarnation(-86_400_000 / 2),
        "it outdid its earlier life");
    world.move(4, -86_400_000);
    world.play(die(8));
    settles(world, join(8));
    world
        .nodes()
        .forEach(
            node ->
                assertEquals(
                    8_004, node.view().now().member("n4").orElseThrow().peer().port(), node.name));
  }

  /**
   * What is told of a far later incarnation is gainsaid by one that is later still; what could not
   * be is refused.
   */
  @Test
  void anIncarnationFromTheFuture() {
    ViewWorld world = settled(1, 5, 0);
    MembershipProtocol view = world.node(0).view();
    Member self = world.node(1).view().self();
    long far = Member.MAX_INCARNATION / 2;
    for (long incarnation : new long[] {far, far + 1, Member.MAX_INCARNATION}) {
      long before = view.refused();
      view.heard(
          world.nowUs(),
          says(
              world.node(2),
              List.of(
                  new Member(
                      self.name(),
                      "",
                      self.host(),
                      self.port(),
                      incarnation,
                      Member.Status.DEAD))));
      assertEquals(before + 1, view.refused());
    }
    view.heard(
        world.nowUs(),
        says(
            world.node(2),
            List.of(
                new Member(
                    self.name(), "", self.host(), self.port(), far - 1, Member.Status.DEAD))));
    assertEquals(4, view.now().members().size());
    settles(world, join(5));
    assertEquals(far, world.node(1).view().self().incarnation());
  }

  private static GossipMessage says(ViewWorld.Node who, List<Member> peers) {
    return new GossipMessage(
        GossipMessage.Kind.GOSSIP, who.view().self(), 0, "", null, peers, List.of());
  }

  /**
   * One that tells no digest, and one that cuts its buckets otherwise, are members as any other.
   */
  @Test
  void membersOfOtherVersions() {
    List<GossipMessage> said = new ArrayList<>();
    MembershipProtocol view =
        new MembershipProtocol(
            peer("a", 1),
            List.of(),
            SETTINGS,
            1,
            0,
            (host, port, word) -> said.add(word),
            room -> List.of());
    view.heard(
        1,
        new GossipMessage(
            GossipMessage.Kind.PING, peer("b", 2), 9, "", null, List.of(), List.of()));
    assertEquals(Set.of("a", "b"), view.now().names());
    assertEquals(Set.of(), view.now().disagree());
    said.clear();
    view.heard(
        2,
        new GossipMessage(
            GossipMessage.Kind.GOSSIP,
            peer("c", 3),
            GossipMessage.COMPARE,
            "",
            null,
            List.of(),
            List.of(),
            7,
            List.of(1L, 2L, 3L),
            List.of()));
    assertEquals(Set.of("c"), view.now().disagree());
    assertTrue(
        said.stream()
            .anyMatch(
                w ->
                    w.number() == GossipMessage.COMPARED
                        && w.buckets().size() == AntiEntropyDigest.BUCKETS));
    assertTrue(said.stream().anyMatch(w -> w.peers().contains(peer("b", 2))), "all buckets differ");
  }

  private static Member peer(String name, int port) {
    return new Member(name, "", "10.0.0.1", port, 5, Member.Status.ALIVE);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void wordsThatComeLaterThanTheWholeSuspicion(long seed) {
    ViewWorld world = settled(seed, 8, 0);
    ViewWorld.Node one = world.node(5);
    world.late((from, to) -> from == one || to == one ? 6 * SETTINGS.suspectUs() : 0);
    world.play(15 * S);
    world.late((from, to) -> 0);
    world.play(7 * S);
    settles(world, join(8));
  }

  /** Its own clockwork tells it, whichever it has first, its timers or the words that waited. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aBrokerThatStoodStillDeclaresNobodyDead(long seed) {
    for (boolean wordsFirst : new boolean[] {true, false}) {
      ViewWorld world = settled(seed, 8, 0.05);
      long before = world.node(6).view().declared();
      world.still(6, 2 * S, wordsFirst);
      world.play(2 * S + 1);
      assertTrue(world.node(6).view().health() > 0);
      settles(world, join(8) + 2 * S);
      world.play(10 * S);
      assertEquals(before, world.node(6).view().declared());
      assertTrue(world.node(6).view().health() <= 1, "it is well again");
    }
  }

  /**
   * All that were named at the start are gone for good, and after a cut so long that both sides
   * forgot each other they are one again.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aFleetThatLosesItsSeeds(long seed) {
    ViewWorld world = settled(seed, 20, 0.02);
    for (int i = 0; i < 8; i++) {
      world.kill(i);
    }
    settles(world, die(20));
    world.cut((from, to) -> ViewWorld.number(from) < 14 != ViewWorld.number(to) < 14);
    world.play(die(20) + SETTINGS.forgetUs() + 5 * S);
    assertTrue(
        world.nodes().stream().allMatch(n -> n.view().peers().size() == 5),
        "forgotten" + lines(world));
    world.cut((from, to) -> false);
    // one address is asked a round of 5, and only some of those that are remembered are there
    settles(world, join(20) + 8 * 14 * SETTINGS.everyUs());
  }

  /**
   * Groups that began apart, with no word between them, find each other by the seeds; the view as
   * it was stayed two.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void groupsThatNeverMetFindEachOther(long seed) {
    ViewWorld world = new ViewWorld(seed, 0, SETTINGS);
    world.cut((from, to) -> ViewWorld.number(from) < 4 != ViewWorld.number(to) < 4);
    world.start(0, 8);
    world.play(5 * S);
    assertTrue(ViewWorld.agree(world.nodes().subList(0, 4)));
    world.cut((from, to) -> false);
    settles(world, join(8));
    ViewWorld old = new ViewWorld(seed, 0, SETTINGS.plain());
    old.cut((from, to) -> ViewWorld.number(from) < 4 != ViewWorld.number(to) < 4);
    old.start(0, 8);
    old.play(5 * S);
    old.cut((from, to) -> false);
    assertEquals(-1, old.untilAgree(40 * S));
  }

  @Test
  void aFleetGrowsFromThreeToThreeHundred() {
    ViewWorld world = settled(1, 3, 0.05);
    world.start(3, 300);
    settles(world, join(300));
    assertEquals(0, world.falseDeaths());
    assertTrue(world.largestWord() <= SETTINGS.wordBytes(), "bytes " + world.largestWord());
    assertTrue(world.bytes() / 300.0 / (world.nowUs() / 1e6) <= ViewBounds.bytesPerS(SETTINGS));
  }

  /** Words of 256 bytes carry the same, in more of them. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void smallWordsDoAsWell(long seed) {
    MembershipProtocolSettings small = SETTINGS.withWords(256);
    ViewWorld world = new ViewWorld(seed, 0.05, small);
    world.start(0, 40);
    settles(world, ViewBounds.joinUs(small, 40));
    world.cut((from, to) -> ViewWorld.number(from) < 20 != ViewWorld.number(to) < 20);
    world.play(die(40));
    world.cut((from, to) -> false);
    settles(world, ViewBounds.joinUs(small, 40));
    assertTrue(world.largestWord() <= 256, "bytes " + world.largestWord());
  }

  /** Where each broker is told its own addresses of the others, they agree all the same. */
  @Test
  void digestsLeaveOutAddressesThatAreToldToEach() {
    for (boolean addresses : new boolean[] {true, false}) {
      AntiEntropyDigest one = new AntiEntropyDigest(addresses);
      one.add(new Member("n1", "0", "10.0.0.1", 7400, 1, Member.Status.ALIVE));
      AntiEntropyDigest other = new AntiEntropyDigest(addresses);
      other.add(new Member("n1", "0", "127.0.0.1", 7411, 1, Member.Status.ALIVE));
      assertEquals(addresses, one.digest() != other.digest());
    }
  }

  /**
   * Confirmed it ends sooner, and a larger fleet takes longer; what is held now does not change
   * under its reader.
   */
  @Test
  void suspicionsAndSnapshots() {
    SuspicionTable suspicions = new SuspicionTable(SETTINGS);
    assertEquals(4 * S, suspicions.timeoutUs(1, 8));
    assertTrue(
        suspicions.timeoutUs(2, 8) < 4 * S
            && suspicions.timeoutUs(2, 8) > suspicions.timeoutUs(3, 8));
    assertEquals(S, suspicions.timeoutUs(4, 8), 1);
    assertEquals(S, suspicions.timeoutUs(1, 2));
    assertEquals(8 * S, suspicions.timeoutUs(1, 100));
    ViewWorld world = settled(1, 4, 0);
    ClusterSnapshot before = world.node(0).view().now();
    world.kill(3);
    settles(world, die(4));
    assertEquals(4, before.names().size());
    assertTrue(world.node(0).view().now().number() > before.number());
    assertThrows(UnsupportedOperationException.class, () -> before.members().clear());
    assertThrows(IllegalArgumentException.class, () -> SETTINGS.withWords(100));
  }
}

package dunlinhitch.cluster.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.SuspicionReport;
import dunlinhitch.cluster.gossip.MalformedMessageException.Why;
import dunlinhitch.cluster.versions.VersionVector;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class GossipDecoderTest {
  private static final long DAY_MS = 1_796_000_000_000L;
  private static final VersionVector VERSIONS =
      new VersionVector("dunlinhitch 0.1.0", "0a1b2c3d4e5f", DAY_MS - 70_000, 41);

  private static String text(Random random) {
    return switch (random.nextInt(6)) {
      case 0 -> "10." + random.nextInt(256) + ".0." + random.nextInt(4);
      case 1 -> String.format("%012x", random.nextLong() >>> 16);
      case 2 -> "010.1.2.3";
      case 3 -> "é".repeat(1 + random.nextInt(120)); // 100 of them are the most that is read
      case 4 -> "s-" + random.nextInt(9);
      default -> "n" + random.nextInt(9);
    };
  }

  private static Member peer(Random random) {
    return new Member(
        text(random),
        random.nextBoolean() ? "" : text(random),
        text(random),
        1 + random.nextInt(65_535),
        random.nextLong(1_000_000_000_000_001L),
        Member.Status.values()[random.nextInt(4)]);
  }

  private static EndpointObservation signal(Random random) {
    List<Float> report = new ArrayList<>();
    for (int i = random.nextInt(5); i > 0; i--) {
      report.add(random.nextInt(50) == 0 ? Float.NaN : random.nextFloat() * 9);
    }
    return new EndpointObservation(
        text(random),
        random.nextBoolean() ? 0 : random.nextLong(Long.MAX_VALUE),
        text(random),
        random.nextLong(Long.MAX_VALUE),
        random.nextLong(Long.MAX_VALUE),
        report,
        random.nextInt(Integer.MAX_VALUE));
  }

  private static GossipMessage word(Random random) {
    return new GossipMessage(
        GossipMessage.Kind.values()[random.nextInt(6)],
        peer(random),
        random.nextLong(),
        random.nextBoolean() ? "" : text(random),
        random.nextBoolean()
            ? null
            : new VersionVector(
                text(random),
                text(random),
                random.nextLong(Long.MAX_VALUE),
                random.nextLong(Long.MAX_VALUE)),
        random.ints(random.nextInt(20)).mapToObj(i -> peer(random)).toList(),
        random.ints(random.nextInt(20)).mapToObj(i -> signal(random)).toList(),
        random.nextBoolean() ? 0 : random.nextLong(),
        random.nextBoolean() ? List.of() : random.longs(16).boxed().toList(),
        random
            .ints(random.nextInt(20))
            .mapToObj(
                i ->
                    new SuspicionReport(
                        text(random), random.nextLong(1_000_000_000_000_001L), text(random)))
            .toList());
  }

  /** What a broker says at its looks: 12 peers and 8 signals, as many as ride on a word. */
  private static GossipMessage typical() {
    List<Member> peers = new ArrayList<>();
    List<EndpointObservation> signals = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      peers.add(
          new Member(
              "n" + i,
              "0",
              "10.1.0." + i,
              7400,
              DAY_MS - 1000 * i,
              i == 11 ? Member.Status.SUSPECT : Member.Status.ALIVE));
    }
    for (int i = 0; i < 8; i++) {
      signals.add(
          new EndpointObservation(
              String.format("s-%08x", 77_777_777 * i),
              0,
              "n" + i,
              17 + i,
              DAY_MS * 1000 + 40_000_000 - 900_000 * i,
              List.of(0.61f, 3f),
              i % 2));
    }
    return new GossipMessage(
        GossipMessage.Kind.PING,
        new Member("n12", "0", "10.1.0.99", 7400, DAY_MS, Member.Status.ALIVE),
        300,
        "",
        VERSIONS,
        peers,
        signals,
        0x1234_5678_9abc_def0L,
        List.of(),
        List.of(
            new SuspicionReport("n11", DAY_MS - 11_000, "n3"),
            new SuspicionReport("n11", DAY_MS - 11_000, "n12")));
  }

  /**
   * Any word, at any bound: no datagram is over it, each can be read, and together they say what
   * the word says, but for what is counted.
   */
  @Property(tries = 500)
  void whatIsWrittenIsReadAndKeepsTheBound(@ForAll long seed) throws MalformedMessageException {
    Random random = new Random(seed);
    GossipMessage word = word(random);
    int bound = 30 + random.nextInt(1_200);
    int most = 1 + random.nextInt(12);
    GossipDecoder.Datagrams written = GossipDecoder.write(word, bound, most);
    List<Member> peers = new ArrayList<>();
    List<EndpointObservation> signals = new ArrayList<>();
    List<SuspicionReport> doubts = new ArrayList<>();
    for (byte[] bytes : written.all()) {
      assertTrue(bytes.length <= bound, () -> bytes.length + " of " + bound);
      GossipMessage read = GossipDecoder.read(bytes);
      boolean first = bytes == written.all().get(0);
      VersionVector versions =
          word.buckets().isEmpty() ? word.versions() : read.versions(); // buckets may keep them out
      assertTrue(read.versions() == null || read.versions().equals(word.versions()));
      assertEquals(
          first
              ? new GossipMessage(
                  word.kind(),
                  word.from(),
                  word.number(),
                  word.about(),
                  versions,
                  read.peers(),
                  read.signals(),
                  word.digest(),
                  word.buckets(),
                  read.doubts())
              : new GossipMessage(
                  GossipMessage.Kind.GOSSIP,
                  word.from(),
                  0,
                  "",
                  null,
                  read.peers(),
                  read.signals(),
                  word.digest(),
                  List.of(),
                  read.doubts()),
          read);
      assertTrue(
          first || !read.peers().isEmpty() || !read.signals().isEmpty() || !read.doubts().isEmpty(),
          "a datagram that says nothing");
      doubts.addAll(read.doubts());
      peers.addAll(read.peers());
      signals.addAll(read.signals());
    }
    assertTrue(written.all().size() <= most);
    assertEquals(
        word.peers().size() + word.signals().size() + word.doubts().size(),
        peers.size() + signals.size() + doubts.size() + written.leftOut());
    assertTrue(
        new HashSet<>(word.peers()).containsAll(peers)
            && new HashSet<>(word.signals()).containsAll(signals)
            && new HashSet<>(word.doubts()).containsAll(doubts));
    if (written.leftOut() == 0) {
      assertEquals(word.signals(), signals, "signals keep their order");
      assertEquals(word.doubts(), doubts);
    }
  }

  /** As many as ride on a word have room, and who must gainsay what is said of it is told first. */
  @Test
  void allThatRidesHasRoomInThreeSmallDatagrams() throws MalformedMessageException {
    GossipDecoder.Datagrams small =
        GossipDecoder.write(typical(), 256, GossipSocket.MOST_DATAGRAMS);
    assertEquals(0, small.leftOut());
    GossipMessage first = GossipDecoder.read(small.all().get(0));
    assertEquals("n11", first.peers().get(0).name());
    assertTrue(first.signals().size() >= 3 && first.peers().size() >= 3, first.toString());
    GossipDecoder.Datagrams large = GossipDecoder.write(typical(), GossipSocket.STANDARD_BYTES, 1);
    assertEquals(0, large.leftOut());
    assertTrue(large.all().get(0).length < 560, () -> large.all().get(0).length + " bytes");
    assertTrue(
        GossipDecoder.write(typical(), 40, 9).all().isEmpty(),
        "who speaks and what it acts on has no room there");
  }

  /**
   * A broker of a usual name compares in 256 bytes; under a long one it says that before what it
   * acts on.
   */
  @Test
  void bucketsHaveRoomInOneSmallDatagram() throws MalformedMessageException {
    for (String name : List.of("broker-17", "n".repeat(75))) {
      GossipMessage word =
          new GossipMessage(
              GossipMessage.Kind.GOSSIP,
              new Member(name, "0", "10.1.0.99", 7400, DAY_MS, Member.Status.ALIVE),
              2,
              "",
              VERSIONS,
              List.of(),
              List.of(),
              -1,
              new Random(1).longs(16).boxed().toList(),
              List.of());
      GossipDecoder.Datagrams written = GossipDecoder.write(word, 256, 1);
      assertEquals(1, written.all().size(), name);
      GossipMessage read = GossipDecoder.read(written.all().get(0));
      assertEquals(word.buckets(), read.buckets());
      assertEquals(name.length() < 20 ? VERSIONS : null, read.versions());
    }
  }

  private static Why why(byte[] bytes) {
    return assertThrows(MalformedMessageException.class, () -> GossipDecoder.read(bytes)).why();
  }

  private static byte[] sealed(byte[] bytes) {
    int at = bytes.length - GossipDecoder.SUM_BYTES;
    int sum = GossipDecoder.sum(bytes, at);
    for (int i = 0; i < GossipDecoder.SUM_BYTES; i++) {
      bytes[at + i] = (byte) (sum >>> 24 - 8 * i);
    }
    return bytes;
  }

  @Test
  void whatIsCutOrOfAnotherVersionIsNoWord() {
    byte[] whole = GossipDecoder.write(typical(), GossipSocket.STANDARD_BYTES, 1).all().get(0);
    for (int length = 0; length < whole.length; length++) {
      assertEquals(Why.CUT, why(Arrays.copyOf(whole, length)));
    }
    assertEquals(Why.CUT, why(Arrays.copyOf(whole, whole.length + 1)));
    assertEquals(
        List.of(Why.LATER, Why.OLDER, Why.OLDER, Why.NONSENSE, Why.NONSENSE),
        Stream.of(4, 2, GossipDecoder.JSON, 1, 200)
            .map(first -> why(new byte[] {first.byteValue(), 2, 3}))
            .toList());
  }

  /**
   * Each bit in turn: seen by the sum, and where the sum fits the turned bit it is another word or
   * none.
   */
  @Test
  void aTurnedBitIsSeenAndNeverAFault() {
    byte[] whole = GossipDecoder.write(typical(), GossipSocket.STANDARD_BYTES, 1).all().get(0);
    for (int bit = 0; bit < 8 * whole.length; bit++) {
      byte[] turned = whole.clone();
      turned[bit / 8] ^= (byte) (1 << bit % 8);
      Why why = why(turned);
      assertTrue(why == Why.CUT || bit < 8, "bit " + bit + ": " + why);
      try {
        GossipDecoder.read(sealed(turned));
      } catch (MalformedMessageException e) {
        assertTrue(e.why() != Why.CUT);
      }
    }
  }

  @Property(tries = 2_000)
  void anythingThatAddsUpIsAWordOrNone(@ForAll byte[] noise) {
    byte[] bytes = new byte[noise.length + 1 + GossipDecoder.SUM_BYTES];
    bytes[0] = GossipDecoder.VERSION;
    System.arraycopy(noise, 0, bytes, 1, noise.length);
    try {
      GossipDecoder.read(sealed(bytes));
    } catch (MalformedMessageException e) {
      assertTrue(e.why() == (noise.length == 0 ? Why.CUT : Why.NONSENSE));
    }
  }
}

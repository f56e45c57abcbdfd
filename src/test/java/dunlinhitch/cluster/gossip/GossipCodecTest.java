package dunlinhitch.cluster.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.SuspicionReport;
import dunlinhitch.cluster.gossip.MalformedMessageException.Reason;
import dunlinhitch.cluster.versions.VersionVector;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests that the sizes of encoded messages are bounded, and that decoding restores the message. */
class GossipCodecTest {
  private static final List<GossipMessage.Kind> KINDS = List.of(GossipMessage.Kind.values());
  private static final List<Member.Status> STATUSES = List.of(Member.Status.values());
  private static final long BASE_MS = 1_796_000_000_000L;
  private static final VersionVector VERSIONS =
      new VersionVector("dunlinhitch 0.1.0", "0a1b2c3d4e5f", BASE_MS - 70_000, 41);

  private static String text(Random random) {
    return switch (random.nextInt(6)) {
      case 0 -> "10." + random.nextInt(256) + ".0." + random.nextInt(4);
      case 1 -> String.format("%012x", random.nextLong() >>> 16);
      case 2 -> "010.1.2.3";
      // Two bytes per character: a string of more than 100 characters exceeds the limit of 200
      // bytes.
      case 3 -> "é".repeat(1 + random.nextInt(120));
      case 4 -> "s-" + random.nextInt(9);
      default -> "n" + random.nextInt(9);
    };
  }

  private static Member member(Random random) {
    return new Member(
        text(random),
        random.nextBoolean() ? "" : text(random),
        text(random),
        1 + random.nextInt(65_535),
        random.nextLong(1_000_000_000_000_001L),
        STATUSES.get(random.nextInt(4)));
  }

  private static EndpointObservation observation(Random random) {
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

  private static GossipMessage message(Random random) {
    return new GossipMessage(
        KINDS.get(random.nextInt(6)),
        member(random),
        random.nextLong(),
        random.nextBoolean() ? "" : text(random),
        random.nextBoolean()
            ? null
            : new VersionVector(
                text(random),
                text(random),
                random.nextLong(Long.MAX_VALUE),
                random.nextLong(Long.MAX_VALUE)),
        random.ints(random.nextInt(20)).mapToObj(i -> member(random)).toList(),
        random.ints(random.nextInt(20)).mapToObj(i -> observation(random)).toList(),
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

  /** A ping with the maximum number of piggybacked updates: 12 members and 8 observations. */
  private static GossipMessage typical() {
    List<Member> members = new ArrayList<>();
    List<EndpointObservation> observations = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      members.add(
          new Member(
              "n" + i,
              "0",
              "10.1.0." + i,
              7400,
              BASE_MS - 1000L * i,
              i == 11 ? Member.Status.SUSPECT : Member.Status.ALIVE));
    }
    for (int i = 0; i < 8; i++) {
      observations.add(
          new EndpointObservation(
              String.format("s-%08x", 77_777_777 * i),
              0,
              "n" + i,
              17 + i,
              BASE_MS * 1000 + 40_000_000 - 900_000L * i,
              List.of(0.61f, 3f),
              i % 2));
    }
    return new GossipMessage(
        GossipMessage.Kind.PING,
        new Member("n12", "0", "10.1.0.99", 7400, BASE_MS, Member.Status.ALIVE),
        300,
        "",
        VERSIONS,
        members,
        observations,
        0x1234_5678_9abc_def0L,
        List.of(),
        List.of(
            new SuspicionReport("n11", BASE_MS - 11_000, "n3"),
            new SuspicionReport("n11", BASE_MS - 11_000, "n12")));
  }

  /**
   * For any message and any bounds, no datagram exceeds the maximum size, and each datagram can be
   * decoded. Together the datagrams contain the whole message, except for the items that are
   * counted as omitted.
   */
  @Property(tries = 500)
  void encodedMessagesAreBoundedAndDecodeToTheSame(@ForAll long seed)
      throws MalformedMessageException {
    Random random = new Random(seed);
    GossipMessage message = message(random);
    int maxBytes = 30 + random.nextInt(1_200);
    int maxDatagrams = 1 + random.nextInt(12);
    GossipEncoder.Datagrams encoded = GossipEncoder.encode(message, maxBytes, maxDatagrams);
    List<Member> members = new ArrayList<>();
    List<EndpointObservation> observations = new ArrayList<>();
    List<SuspicionReport> suspicions = new ArrayList<>();
    boolean first = true;
    for (byte[] datagram : encoded.all()) {
      assertTrue(
          datagram.length <= maxBytes, () -> datagram.length + " bytes, maximum " + maxBytes);
      GossipMessage decoded = GossipDecoder.decode(datagram);
      assertTrue(decoded.versions() == null || decoded.versions().equals(message.versions()));
      assertEquals(
          first ? expectedFirst(message, decoded) : expectedContinuation(message, decoded),
          decoded);
      assertTrue(first || itemCount(decoded) > 0, "datagram without items");
      suspicions.addAll(decoded.suspicionReports());
      members.addAll(decoded.memberUpdates());
      observations.addAll(decoded.observations());
      first = false;
    }
    assertTrue(encoded.all().size() <= maxDatagrams);
    assertEquals(
        itemCount(message),
        members.size() + observations.size() + suspicions.size() + encoded.omittedItems());
    assertTrue(
        new HashSet<>(message.memberUpdates()).containsAll(members)
            && new HashSet<>(message.observations()).containsAll(observations)
            && new HashSet<>(message.suspicionReports()).containsAll(suspicions));
    if (encoded.omittedItems() == 0) {
      assertEquals(message.observations(), observations, "observations must keep their order");
      assertEquals(message.suspicionReports(), suspicions);
    }
  }

  private static int itemCount(GossipMessage message) {
    return message.memberUpdates().size()
        + message.observations().size()
        + message.suspicionReports().size();
  }

  /**
   * The message that the first datagram is expected to decode to, given the decoded items. It
   * contains no versions if the buckets leave no space for them.
   */
  private static GossipMessage expectedFirst(GossipMessage message, GossipMessage decoded) {
    return new GossipMessage(
        message.kind(),
        message.from(),
        message.sequenceNumber(),
        message.subject(),
        message.buckets().isEmpty() ? message.versions() : decoded.versions(),
        decoded.memberUpdates(),
        decoded.observations(),
        message.digest(),
        message.buckets(),
        decoded.suspicionReports());
  }

  /**
   * The message that each datagram except the first is expected to decode to, given the decoded
   * items.
   */
  private static GossipMessage expectedContinuation(GossipMessage message, GossipMessage decoded) {
    return new GossipMessage(
        GossipMessage.Kind.GOSSIP,
        message.from(),
        0,
        "",
        null,
        decoded.memberUpdates(),
        decoded.observations(),
        message.digest(),
        List.of(),
        decoded.suspicionReports());
  }

  /** The code of each kind and status is part of the wire format and must never change. */
  @Test
  void wireCodesAreFixed() throws IOException {
    for (int code = 0; code < KINDS.size(); code++) {
      assertEquals(code, WireFormat.code(KINDS.get(code)));
      assertEquals(KINDS.get(code), WireFormat.kind(code));
    }
    for (int code = 0; code < STATUSES.size(); code++) {
      assertEquals(code, WireFormat.code(STATUSES.get(code)));
      assertEquals(STATUSES.get(code), WireFormat.status(code));
    }
    assertThrows(IOException.class, () -> WireFormat.kind(KINDS.size()));
    assertThrows(IOException.class, () -> WireFormat.status(-1));
  }

  /**
   * All piggybacked updates fit, and a suspected member comes first, so that it can refute the
   * suspicion.
   */
  @Test
  void typicalMessageFitsInThreeSmallDatagrams() throws MalformedMessageException {
    GossipEncoder.Datagrams small =
        GossipEncoder.encode(typical(), 256, GossipSocket.MAX_DATAGRAMS);
    assertEquals(0, small.omittedItems());
    GossipMessage first = GossipDecoder.decode(small.all().get(0));
    assertEquals("n11", first.memberUpdates().get(0).name());
    assertTrue(
        first.observations().size() >= 3 && first.memberUpdates().size() >= 3, first.toString());
    GossipEncoder.Datagrams large =
        GossipEncoder.encode(typical(), GossipSocket.DEFAULT_MAX_BYTES, 1);
    assertEquals(0, large.omittedItems());
    assertTrue(large.all().get(0).length < 560, () -> large.all().get(0).length + " bytes");
    assertTrue(
        GossipEncoder.encode(typical(), 40, 9).all().isEmpty(),
        "a header with sender and versions must not fit");
  }

  /**
   * If the sender's name has an ordinary length, buckets and versions fit in 256 bytes. If the name
   * is long, the versions are omitted.
   */
  @Test
  void bucketsFitInOneSmallDatagram() throws MalformedMessageException {
    for (String name : List.of("broker-17", "n".repeat(75))) {
      GossipMessage message =
          new GossipMessage(
              GossipMessage.Kind.GOSSIP,
              new Member(name, "0", "10.1.0.99", 7400, BASE_MS, Member.Status.ALIVE),
              2,
              "",
              VERSIONS,
              List.of(),
              List.of(),
              -1,
              new Random(1).longs(16).boxed().toList(),
              List.of());
      GossipEncoder.Datagrams written = GossipEncoder.encode(message, 256, 1);
      assertEquals(1, written.all().size(), name);
      GossipMessage read = GossipDecoder.decode(written.all().get(0));
      assertEquals(message.buckets(), read.buckets());
      assertEquals(name.length() < 20 ? VERSIONS : null, read.versions());
    }
  }

  private static Reason reasonOf(byte[] bytes) {
    return assertThrows(MalformedMessageException.class, () -> GossipDecoder.decode(bytes))
        .reason();
  }

  /** Replaces the checksum by the correct one for the changed bytes. */
  private static byte[] withChecksum(byte[] bytes) {
    int start = bytes.length - WireFormat.CHECKSUM_BYTES;
    int checksum = WireFormat.computeChecksum(bytes, start);
    for (int i = 0; i < WireFormat.CHECKSUM_BYTES; i++) {
      bytes[start + i] = (byte) (checksum >>> (24 - 8 * i));
    }
    return bytes;
  }

  @Test
  void corruptAndOtherVersionsAreRejected() {
    byte[] datagram =
        GossipEncoder.encode(typical(), GossipSocket.DEFAULT_MAX_BYTES, 1).all().get(0);
    for (int length = 0; length < datagram.length; length++) {
      assertEquals(Reason.CORRUPT, reasonOf(Arrays.copyOf(datagram, length)));
    }
    assertEquals(Reason.CORRUPT, reasonOf(Arrays.copyOf(datagram, datagram.length + 1)));
    assertEquals(
        List.of(
            Reason.NEWER_VERSION,
            Reason.OLDER_VERSION,
            Reason.OLDER_VERSION,
            Reason.INVALID,
            Reason.INVALID),
        Stream.of(4, 2, WireFormat.JSON_START, 1, 200)
            .map(first -> reasonOf(new byte[] {first.byteValue(), 2, 3}))
            .toList());
  }

  /**
   * The checksum detects a flip of any single bit. If the checksum is recomputed after the flip,
   * the datagram either decodes to another message or is rejected as invalid.
   */
  @Test
  void flippedBitIsDetectedOrDecodesWithoutFault() {
    byte[] datagram =
        GossipEncoder.encode(typical(), GossipSocket.DEFAULT_MAX_BYTES, 1).all().get(0);
    for (int bit = 0; bit < 8 * datagram.length; bit++) {
      byte[] flipped = datagram.clone();
      flipped[bit / 8] ^= (byte) (1 << (bit % 8));
      Reason reason = reasonOf(flipped);
      assertTrue(reason == Reason.CORRUPT || bit < 8, "bit " + bit + ": " + reason);
      try {
        GossipDecoder.decode(withChecksum(flipped));
      } catch (MalformedMessageException e) {
        assertTrue(e.reason() != Reason.CORRUPT);
      }
    }
  }

  @Property(tries = 2_000)
  void anyBytesWithValidChecksumDecodeOrAreInvalid(@ForAll byte[] noise) {
    byte[] bytes = new byte[noise.length + 1 + WireFormat.CHECKSUM_BYTES];
    bytes[0] = WireFormat.VERSION;
    System.arraycopy(noise, 0, bytes, 1, noise.length);
    try {
      GossipDecoder.decode(withChecksum(bytes));
    } catch (MalformedMessageException e) {
      assertTrue(e.reason() == (noise.length == 0 ? Reason.CORRUPT : Reason.INVALID));
    }
  }
}

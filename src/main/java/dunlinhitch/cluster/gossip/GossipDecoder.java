package dunlinhitch.cluster.gossip;

import com.google.protobuf.CodedInputStream;
import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.SuspicionReport;
import dunlinhitch.cluster.gossip.MalformedMessageException.Why;
import dunlinhitch.cluster.versions.VersionVector;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Words between brokers as bytes, made of protobuf's varints without its tags: a version, the kind,
 * who speaks, then one item after the other, a peer, a signal or a doubt, and a checksum at the
 * end. Times go as differences from the speaker's incarnation, which is one too. A word that is
 * larger than a datagram goes as several, each a word by itself.
 *
 * <p>Every field is there in every word of a version, so a change of the form is another version.
 * Bounds: no datagram is larger than it was asked to be, and reading costs no more than the bytes
 * that came.
 */
final class GossipDecoder {
  static final int VERSION = 3;

  /** The first byte of a word of version 1, which was JSON. */
  static final int JSON = '{';

  /** The first version that was not text. */
  private static final int LEAST_BINARY = 2;

  /** Versions to come; what begins with more is no word. */
  static final int MOST_VERSION = 31;

  static final int SUM_BYTES = 4;
  static final int KIND_BITS = 0x0f;
  static final int HAS_ABOUT = 0x10;
  static final int HAS_VERSIONS = 0x20;
  static final int HAS_DIGEST = 0x40;
  static final int HAS_BUCKETS = 0x80;

  /** More than any version sums up by, so that a row of them fits in a count of one byte. */
  static final int MOST_BUCKETS = 64;

  /**
   * The low bits of an item's first byte; the others hold a peer's status, or of how many figures a
   * signal's report is.
   */
  static final int ITEM_BITS = 2;

  static final int PEER = 1;
  static final int SIGNAL = 2;
  static final int DOUBT = 3;
  static final int MOST_FIGURES = 63;
  static final long US_OF_MS = 1000;
  private static final int LEAST_BYTES = 2 + SUM_BYTES;
  private static final GossipMessage.Kind[] KINDS = GossipMessage.Kind.values();
  private static final Member.Status[] STATUSES = Member.Status.values();

  /**
   * A word as datagrams, none where not even who speaks finds room; {@code leftOut}: items that
   * found none.
   */
  record Datagrams(List<byte[]> all, int leftOut) {}

  private GossipDecoder() {}

  /**
   * The word in datagrams of so many bytes at the most, and no more than so many of them. The first
   * is of its kind, the others are NEWS. Each bears the digest, for any of them may be the one that
   * arrives. Buckets go in the first, which is of their number; where they leave no room for the
   * versions these wait for the next word. Peers that are held for less than alive go first, for
   * they must be able to gainsay it; then who doubts them; then signals and peers by turns, each in
   * the order in which they stand, so that a flood of the ones does not keep out the others.
   */
  static Datagrams write(GossipMessage word, int mostBytes, int mostDatagrams) {
    List<byte[]> all = new ArrayList<>();
    GossipEncoder writer = new GossipEncoder(mostBytes);
    if (!writer.head(word) && (word.buckets().isEmpty() || !writer.head(withoutVersions(word)))) {
      return new Datagrams(all, word.peers().size() + word.signals().size() + word.doubts().size());
    }
    GossipMessage more =
        new GossipMessage(
            GossipMessage.Kind.GOSSIP,
            word.from(),
            0,
            "",
            null,
            List.of(),
            List.of(),
            word.digest(),
            List.of(),
            List.of());
    int leftOut = 0;
    boolean answers = true; // the first one is sent even if nothing rides on it
    for (Object item : items(word)) {
      boolean in = writer.add(item);
      if (!in && (answers || !writer.isBare()) && all.size() + 1 < mostDatagrams) {
        all.add(writer.end());
        answers = false;
        writer = new GossipEncoder(mostBytes);
        in = writer.head(more) && writer.add(item);
      }
      leftOut += in ? 0 : 1;
    }
    if (answers || !writer.isBare()) {
      all.add(writer.end());
    }
    return new Datagrams(all, leftOut);
  }

  private static GossipMessage withoutVersions(GossipMessage word) {
    return new GossipMessage(
        word.kind(),
        word.from(),
        word.number(),
        word.about(),
        null,
        word.peers(),
        word.signals(),
        word.digest(),
        word.buckets(),
        word.doubts());
  }

  private static List<Object> items(GossipMessage word) {
    List<Object> items = new ArrayList<>();
    word.peers().stream().filter(peer -> peer.status() != Member.Status.ALIVE).forEach(items::add);
    items.addAll(word.doubts());
    Iterator<Member> peers =
        word.peers().stream().filter(peer -> peer.status() == Member.Status.ALIVE).iterator();
    Iterator<EndpointObservation> signals = word.signals().iterator();
    while (peers.hasNext() || signals.hasNext()) {
      if (signals.hasNext()) {
        items.add(signals.next());
      }
      if (peers.hasNext()) {
        items.add(peers.next());
      }
    }
    return items;
  }

  /** The sum over so many of the first bytes. */
  static int sum(byte[] bytes, int count) {
    CRC32C sum = new CRC32C();
    sum.update(bytes, 0, count);
    return (int) sum.getValue();
  }

  /** The sum that a datagram bears; two that bear the same are taken for the same one. */
  static int mark(byte[] bytes) {
    int at = bytes.length - SUM_BYTES;
    return (bytes[at] & 0xff) << 24
        | (bytes[at + 1] & 0xff) << 16
        | (bytes[at + 2] & 0xff) << 8
        | (bytes[at + 3] & 0xff);
  }

  static GossipMessage read(byte[] bytes) throws MalformedMessageException {
    int version = bytes.length == 0 ? VERSION : bytes[0] & 0xff;
    if (version == JSON || (version >= LEAST_BINARY && version < VERSION)) {
      throw new MalformedMessageException(
          Why.OLDER, "a word of version " + (version == JSON ? 1 : version));
    }
    if (version > VERSION && version <= MOST_VERSION) {
      throw new MalformedMessageException(
          Why.LATER, "a word of version " + version + ", and " + VERSION + " is spoken here");
    }
    if (version != VERSION) {
      throw new MalformedMessageException(Why.NONSENSE, "it begins with " + version);
    }
    int length = bytes.length - SUM_BYTES;
    if (bytes.length < LEAST_BYTES || mark(bytes) != sum(bytes, length)) {
      throw new MalformedMessageException(
          Why.CUT, bytes.length + " bytes that do not add up to their sum");
    }
    try {
      CodedInputStream in = CodedInputStream.newInstance(bytes, 1, length - 1);
      return read(in, new StringTable());
    } catch (IOException | IllegalArgumentException e) {
      throw new MalformedMessageException(
          Why.NONSENSE, "it says what can not be: " + e.getMessage());
    }
  }

  private static GossipMessage read(CodedInputStream in, StringTable texts) throws IOException {
    int head = in.readRawByte() & 0xff;
    Member from = peer(in, texts, in.readRawByte(), 0);
    long number = in.readUInt64();
    String about = (head & HAS_ABOUT) == 0 ? "" : texts.read(in);
    VersionVector versions =
        (head & HAS_VERSIONS) == 0
            ? null
            : new VersionVector(
                texts.read(in),
                texts.read(in),
                from.incarnation() + in.readSInt64(),
                in.readUInt64());
    long digest = (head & HAS_DIGEST) == 0 ? 0 : in.readFixed64();
    List<Long> buckets = (head & HAS_BUCKETS) == 0 ? List.of() : buckets(in);
    List<Member> peers = new ArrayList<>();
    List<EndpointObservation> signals = new ArrayList<>();
    List<SuspicionReport> doubts = new ArrayList<>();
    long seenUs = from.incarnation() * US_OF_MS;
    while (!in.isAtEnd()) {
      int item = in.readRawByte() & 0xff;
      switch (item & (1 << ITEM_BITS) - 1) {
        case PEER -> peers.add(peer(in, texts, item >> ITEM_BITS, from.incarnation()));
        case SIGNAL -> {
          EndpointObservation signal =
              signal(in, texts, item >> ITEM_BITS, from.incarnation(), seenUs);
          seenUs = signal.seenUs();
          signals.add(signal);
        }
        case DOUBT -> doubts.add(doubt(in, texts, item >> ITEM_BITS, from.incarnation()));
        default -> throw new IOException("an item of kind " + item);
      }
    }
    return new GossipMessage(
        one(KINDS, head & KIND_BITS),
        from,
        number,
        about,
        versions,
        peers,
        signals,
        digest,
        buckets,
        doubts);
  }

  private static <T> T one(T[] all, int number) throws IOException {
    if (number < 0 || number >= all.length) {
      throw new IOException("number " + number + " of " + all.length);
    }
    return all[number];
  }

  private static Member peer(CodedInputStream in, StringTable texts, int status, long sinceMs)
      throws IOException {
    String name = texts.read(in);
    String zone = texts.read(in);
    String host = texts.read(in);
    int port = (in.readRawByte() & 0xff) << 8 | (in.readRawByte() & 0xff);
    return new Member(name, zone, host, port, sinceMs + in.readSInt64(), one(STATUSES, status));
  }

  private static List<Long> buckets(CodedInputStream in) throws IOException {
    int count = in.readRawByte();
    if (count < 1 || count > MOST_BUCKETS) {
      throw new IOException(count + " buckets");
    }
    List<Long> buckets = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      buckets.add(in.readFixed64());
    }
    return buckets;
  }

  private static SuspicionReport doubt(
      CodedInputStream in, StringTable texts, int spare, long sinceMs) throws IOException {
    if (spare != 0) {
      throw new IOException("a doubt with bits that mean nothing");
    }
    String name = texts.read(in);
    String by = texts.read(in);
    return new SuspicionReport(name, sinceMs + in.readSInt64(), by);
  }

  private static EndpointObservation signal(
      CodedInputStream in, StringTable texts, int figures, long sinceMs, long seenUs)
      throws IOException {
    String store = texts.read(in);
    String author = texts.read(in);
    long started = in.readUInt64();
    long number = in.readUInt64();
    long seen = seenUs + in.readSInt64();
    List<Float> report = new ArrayList<>(figures);
    for (int i = 0; i < figures; i++) {
      float figure = in.readFloat();
      if (!Float.isFinite(figure)) {
        throw new IOException("a load report holds " + figure);
      }
      report.add(figure);
    }
    return new EndpointObservation(
        store,
        started == 0 ? 0 : sinceMs + CodedInputStream.decodeZigZag64(started - 1),
        author,
        number,
        seen,
        report,
        in.readUInt32());
  }
}

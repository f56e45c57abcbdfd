package dunlinhitch.cluster.gossip;

import com.google.protobuf.CodedInputStream;
import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.SuspicionReport;
import dunlinhitch.cluster.gossip.MalformedMessageException.Reason;
import dunlinhitch.cluster.versions.VersionVector;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes one datagram of the {@link WireFormat}. The cost of decoding is at most proportional to
 * the length of the datagram, even if the content is malicious. Each instance decodes one datagram.
 * Pure.
 */
final class GossipDecoder {
  /** The size of the version, the kind and the checksum. */
  private static final int MIN_BYTES = 2 + WireFormat.CHECKSUM_BYTES;

  private static final int BYTE_MASK = 0xff;

  private final CodedInputStream in;
  private final StringTable strings = new StringTable();
  private final List<Member> members = new ArrayList<>();
  private final List<EndpointObservation> observations = new ArrayList<>();
  private final List<SuspicionReport> suspicions = new ArrayList<>();

  /** The sender's incarnation. Times in milliseconds are encoded as differences from this value. */
  private long baseMs;

  /**
   * The time of the last decoded observation. The time of the next observation is encoded as the
   * difference from this value.
   */
  private long lastObservedUs;

  private GossipDecoder(CodedInputStream in) {
    this.in = in;
  }

  /** Decodes a datagram. */
  static GossipMessage decode(byte[] datagram) throws MalformedMessageException {
    checkVersion(datagram.length == 0 ? WireFormat.VERSION : datagram[0] & BYTE_MASK);
    int checkedLength = datagram.length - WireFormat.CHECKSUM_BYTES;
    if (datagram.length < MIN_BYTES
        || WireFormat.readChecksum(datagram)
            != WireFormat.computeChecksum(datagram, checkedLength)) {
      throw new MalformedMessageException(
          Reason.CORRUPT, datagram.length + " bytes without a valid checksum");
    }
    try {
      CodedInputStream body = CodedInputStream.newInstance(datagram, 1, checkedLength - 1);
      return new GossipDecoder(body).readMessage();
    } catch (IOException | IllegalArgumentException e) {
      throw new MalformedMessageException(Reason.INVALID, "invalid message: " + e.getMessage());
    }
  }

  private static void checkVersion(int version) throws MalformedMessageException {
    if (version == WireFormat.VERSION) {
      return;
    }
    if (version == WireFormat.JSON_START
        || (version >= WireFormat.FIRST_BINARY_VERSION && version < WireFormat.VERSION)) {
      throw new MalformedMessageException(
          Reason.OLDER_VERSION,
          "gossip message of version "
              + (version == WireFormat.JSON_START ? 1 : version)
              + ", but only version "
              + WireFormat.VERSION
              + " is supported");
    }
    if (version > WireFormat.VERSION && version <= WireFormat.MAX_VERSION) {
      throw new MalformedMessageException(
          Reason.NEWER_VERSION,
          "gossip message of version "
              + version
              + ", but only version "
              + WireFormat.VERSION
              + " is supported");
    }
    throw new MalformedMessageException(
        Reason.INVALID, "first byte " + version + " is not a version of gossip messages");
  }

  private GossipMessage readMessage() throws IOException {
    int kindAndFlags = in.readRawByte() & BYTE_MASK;
    Member from = readMember(in.readRawByte());
    baseMs = from.incarnation();
    lastObservedUs = baseMs * WireFormat.US_PER_MS;
    long sequenceNumber = in.readUInt64();
    String subject = has(kindAndFlags, WireFormat.HAS_SUBJECT) ? strings.read(in) : "";
    VersionVector versions = has(kindAndFlags, WireFormat.HAS_VERSIONS) ? readVersions() : null;
    long digest = has(kindAndFlags, WireFormat.HAS_DIGEST) ? in.readFixed64() : 0;
    List<Long> buckets = has(kindAndFlags, WireFormat.HAS_BUCKETS) ? readBuckets() : List.of();
    while (!in.isAtEnd()) {
      readItem();
    }
    return new GossipMessage(
        WireFormat.kind(kindAndFlags & WireFormat.KIND_MASK),
        from,
        sequenceNumber,
        subject,
        versions,
        members,
        observations,
        digest,
        buckets,
        suspicions);
  }

  private static boolean has(int flags, int flag) {
    return (flags & flag) != 0;
  }

  private void readItem() throws IOException {
    int first = in.readRawByte() & BYTE_MASK;
    int detail = first >> WireFormat.ITEM_TYPE_BITS;
    switch (first & WireFormat.ITEM_TYPE_MASK) {
      case WireFormat.MEMBER_ITEM -> members.add(readMember(detail));
      case WireFormat.OBSERVATION_ITEM -> observations.add(readObservation(detail));
      case WireFormat.SUSPICION_ITEM -> suspicions.add(readSuspicion(detail));
      default -> throw new IOException("unknown item type in byte " + first);
    }
  }

  /**
   * Reads a member. The sender is read first, while {@link #baseMs} is still 0, so that the
   * sender's incarnation is decoded as an absolute value.
   */
  private Member readMember(int status) throws IOException {
    String name = strings.read(in);
    String zone = strings.read(in);
    String host = strings.read(in);
    int port = ((in.readRawByte() & BYTE_MASK) << 8) | (in.readRawByte() & BYTE_MASK);
    long incarnation = baseMs + in.readSInt64();
    return new Member(name, zone, host, port, incarnation, WireFormat.status(status));
  }

  private VersionVector readVersions() throws IOException {
    String build = strings.read(in);
    String settings = strings.read(in);
    long settingsMs = baseMs + in.readSInt64();
    return new VersionVector(build, settings, settingsMs, in.readUInt64());
  }

  private List<Long> readBuckets() throws IOException {
    int count = in.readRawByte();
    if (count < 1 || count > WireFormat.MAX_BUCKETS) {
      throw new IOException(count + " buckets, expected 1 to " + WireFormat.MAX_BUCKETS);
    }
    List<Long> buckets = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      buckets.add(in.readFixed64());
    }
    return buckets;
  }

  private SuspicionReport readSuspicion(int unusedBits) throws IOException {
    if (unusedBits != 0) {
      throw new IOException("suspicion item must have its unused bits clear: got " + unusedBits);
    }
    String name = strings.read(in);
    String by = strings.read(in);
    return new SuspicionReport(name, baseMs + in.readSInt64(), by);
  }

  private EndpointObservation readObservation(int reportValues) throws IOException {
    String endpoint = strings.read(in);
    String observer = strings.read(in);
    long encodedStart = in.readUInt64();
    long sequenceNumber = in.readUInt64();
    long observedUs = lastObservedUs + in.readSInt64();
    List<Float> report = readReport(reportValues);
    long startedMs =
        encodedStart == 0 ? 0 : baseMs + CodedInputStream.decodeZigZag64(encodedStart - 1);
    EndpointObservation observation =
        new EndpointObservation(
            endpoint, startedMs, observer, sequenceNumber, observedUs, report, in.readUInt32());
    lastObservedUs = observedUs;
    return observation;
  }

  private List<Float> readReport(int count) throws IOException {
    List<Float> report = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      float value = in.readFloat();
      if (!Float.isFinite(value)) {
        throw new IOException("load report must have only finite values: got " + value);
      }
      report.add(value);
    }
    return report;
  }
}

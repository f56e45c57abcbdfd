package dunlinhitch.cluster.gossip;

import com.google.protobuf.CodedOutputStream;
import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.SuspicionReport;
import dunlinhitch.cluster.versions.VersionVector;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * Writes one datagram in the {@link WireFormat}: first the header, then the items. A header or item
 * that does not fit, or that a decoder would reject, is not written, and the datagram stays as
 * before. Not thread-safe.
 */
final class DatagramWriter {
  /** A section of the datagram, which is written completely or not at all. */
  private interface Section {
    void write(CodedOutputStream out) throws IOException;
  }

  /** The bytes of the datagram except for the checksum. */
  private final byte[] buffer;

  private final StringTable strings = new StringTable();
  private int length;
  private int headerLength;

  /** The sender's incarnation. Times in milliseconds are encoded as differences from this value. */
  private long baseMs;

  /**
   * The time of the last written observation. The time of the next observation is encoded as the
   * difference from this value.
   */
  private long lastObservedUs;

  /** Creates a writer of a datagram of at most {@code maxBytes} bytes, including the checksum. */
  DatagramWriter(int maxBytes) {
    buffer = new byte[Math.max(0, maxBytes - WireFormat.CHECKSUM_BYTES)];
  }

  /** Writes the header; returns false if it does not fit, in which case no items may be added. */
  boolean writeHeader(GossipMessage message) {
    baseMs = message.from().incarnation();
    lastObservedUs = baseMs * WireFormat.US_PER_MS;
    boolean written = append(out -> writeHeader(out, message));
    headerLength = length;
    return written;
  }

  private void writeHeader(CodedOutputStream out, GossipMessage message) throws IOException {
    out.writeRawByte(WireFormat.VERSION);
    out.writeRawByte(kindAndFlags(message));
    out.writeRawByte(WireFormat.code(message.from().status()));
    writeMember(out, message.from(), 0);
    out.writeUInt64NoTag(message.sequenceNumber());
    if (!message.subject().isEmpty()) {
      strings.write(out, message.subject());
    }
    VersionVector versions = message.versions();
    if (versions != null) {
      strings.write(out, versions.build());
      strings.write(out, versions.settings());
      out.writeSInt64NoTag(versions.settingsMs() - baseMs);
      out.writeUInt64NoTag(versions.endpointListGeneration());
    }
    if (message.digest() != 0) {
      out.writeFixed64NoTag(message.digest());
    }
    writeBuckets(out, message.buckets());
  }

  private static int kindAndFlags(GossipMessage message) {
    return WireFormat.code(message.kind())
        | (message.subject().isEmpty() ? 0 : WireFormat.HAS_SUBJECT)
        | (message.versions() == null ? 0 : WireFormat.HAS_VERSIONS)
        | (message.digest() == 0 ? 0 : WireFormat.HAS_DIGEST)
        | (message.buckets().isEmpty() ? 0 : WireFormat.HAS_BUCKETS);
  }

  private static void writeBuckets(CodedOutputStream out, List<Long> buckets) throws IOException {
    if (buckets.size() > WireFormat.MAX_BUCKETS) {
      throw new IOException(
          buckets.size() + " buckets, expected at most " + WireFormat.MAX_BUCKETS);
    }
    if (!buckets.isEmpty()) {
      out.writeRawByte(buckets.size());
    }
    for (long bucket : buckets) {
      out.writeFixed64NoTag(bucket);
    }
  }

  private void writeMember(CodedOutputStream out, Member member, long relativeToMs)
      throws IOException {
    strings.write(out, member.name());
    strings.write(out, member.zone());
    strings.write(out, member.host());
    out.writeRawByte(member.port() >> 8);
    out.writeRawByte(member.port());
    out.writeSInt64NoTag(member.incarnation() - relativeToMs);
  }

  /** Adds a member; returns false if it does not fit. */
  boolean addMember(Member member) {
    return append(
        out -> {
          int status = WireFormat.code(member.status());
          out.writeRawByte(WireFormat.MEMBER_ITEM | (status << WireFormat.ITEM_TYPE_BITS));
          writeMember(out, member, baseMs);
        });
  }

  /** Adds a suspicion; returns false if it does not fit. */
  boolean addSuspicion(SuspicionReport suspicion) {
    return append(
        out -> {
          out.writeRawByte(WireFormat.SUSPICION_ITEM);
          strings.write(out, suspicion.name());
          strings.write(out, suspicion.reporter());
          out.writeSInt64NoTag(suspicion.incarnation() - baseMs);
        });
  }

  /** Adds an observation; returns false if it does not fit or its load report is invalid. */
  boolean addObservation(EndpointObservation observation) {
    boolean added = append(out -> writeObservation(out, observation));
    if (added) {
      lastObservedUs = observation.observedUs();
    }
    return added;
  }

  private void writeObservation(CodedOutputStream out, EndpointObservation observation)
      throws IOException {
    int values = observation.report().size();
    if (values > WireFormat.MAX_REPORT_VALUES
        || !observation.report().stream().allMatch(Float::isFinite)) {
      throw new IOException(
          "load report must have at most "
              + WireFormat.MAX_REPORT_VALUES
              + " values, all finite: got "
              + observation.report());
    }
    out.writeRawByte(WireFormat.OBSERVATION_ITEM | (values << WireFormat.ITEM_TYPE_BITS));
    strings.write(out, observation.endpoint());
    strings.write(out, observation.observer());
    out.writeUInt64NoTag(
        observation.startedMs() == 0
            ? 0
            : CodedOutputStream.encodeZigZag64(observation.startedMs() - baseMs) + 1);
    out.writeUInt64NoTag(observation.sequenceNumber());
    out.writeSInt64NoTag(observation.observedUs() - lastObservedUs);
    for (float value : observation.report()) {
      out.writeFloatNoTag(value);
    }
    out.writeUInt32NoTag(observation.consecutiveFailures());
  }

  private boolean append(Section section) {
    int stringsBefore = strings.size();
    try {
      CodedOutputStream out = CodedOutputStream.newInstance(buffer, length, buffer.length - length);
      section.write(out);
      if (out.getTotalBytesWritten() <= buffer.length - length) {
        length += out.getTotalBytesWritten();
        return true;
      }
    } catch (IOException e) {
      // The section does not fit, or a decoder would reject it. The encoder counts omitted items.
    }
    strings.truncate(stringsBefore);
    return false;
  }

  /** Whether the datagram contains any items. */
  boolean hasItems() {
    return length != headerLength;
  }

  /** The datagram with its checksum. */
  byte[] toDatagram() {
    byte[] datagram = Arrays.copyOf(buffer, length + WireFormat.CHECKSUM_BYTES);
    WireFormat.writeChecksum(datagram);
    return datagram;
  }
}

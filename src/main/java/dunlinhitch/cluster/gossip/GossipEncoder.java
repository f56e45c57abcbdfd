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
 * Fills one datagram in the form of {@link GossipDecoder}: what does not fit is as if it had not
 * been tried.
 */
final class GossipEncoder {
  /** Something of one datagram. */
  private interface Piece {
    void write(CodedOutputStream out) throws IOException;
  }

  /** Without the checksum's bytes. */
  private final byte[] room;

  private final StringTable texts = new StringTable();
  private int used;
  private int headBytes;
  private long sinceMs;
  private long seenUs;

  GossipEncoder(int mostBytes) {
    room = new byte[Math.max(0, mostBytes - GossipDecoder.SUM_BYTES)];
  }

  /** False where it finds no room; nothing else may be added then. */
  boolean head(GossipMessage word) {
    Member from = word.from();
    String about = word.about();
    VersionVector versions = word.versions();
    sinceMs = from.incarnation();
    seenUs = sinceMs * GossipDecoder.US_OF_MS;
    boolean in =
        put(
            out -> {
              out.writeRawByte(GossipDecoder.VERSION);
              out.writeRawByte(
                  word.kind().ordinal()
                      | (about.isEmpty() ? 0 : GossipDecoder.HAS_ABOUT)
                      | (versions == null ? 0 : GossipDecoder.HAS_VERSIONS)
                      | (word.digest() == 0 ? 0 : GossipDecoder.HAS_DIGEST)
                      | (word.buckets().isEmpty() ? 0 : GossipDecoder.HAS_BUCKETS));
              out.writeRawByte(from.status().ordinal());
              peer(out, from, 0);
              out.writeUInt64NoTag(word.number());
              if (!about.isEmpty()) {
                texts.write(out, about);
              }
              if (versions != null) {
                texts.write(out, versions.build());
                texts.write(out, versions.settings());
                out.writeSInt64NoTag(versions.settingsMs() - sinceMs);
                out.writeUInt64NoTag(versions.roster());
              }
              if (word.digest() != 0) {
                out.writeFixed64NoTag(word.digest());
              }
              buckets(out, word.buckets());
            });
    headBytes = used;
    return in;
  }

  /** A peer, a signal or a doubt; false where it finds no room, or could not be read. */
  boolean add(Object item) {
    if (item instanceof Member peer) {
      return put(
          out -> {
            out.writeRawByte(
                GossipDecoder.PEER | peer.status().ordinal() << GossipDecoder.ITEM_BITS);
            peer(out, peer, sinceMs);
          });
    }
    if (item instanceof SuspicionReport doubt) {
      return put(
          out -> {
            out.writeRawByte(GossipDecoder.DOUBT);
            texts.write(out, doubt.name());
            texts.write(out, doubt.by());
            out.writeSInt64NoTag(doubt.incarnation() - sinceMs);
          });
    }
    EndpointObservation signal = (EndpointObservation) item;
    boolean in = put(out -> signal(out, signal));
    seenUs = in ? signal.seenUs() : seenUs;
    return in;
  }

  private static void buckets(CodedOutputStream out, List<Long> buckets) throws IOException {
    if (buckets.size() > GossipDecoder.MOST_BUCKETS) {
      throw new IOException(buckets.size() + " buckets");
    }
    if (!buckets.isEmpty()) {
      out.writeRawByte(buckets.size());
    }
    for (long bucket : buckets) {
      out.writeFixed64NoTag(bucket);
    }
  }

  private void peer(CodedOutputStream out, Member peer, long since) throws IOException {
    texts.write(out, peer.name());
    texts.write(out, peer.zone());
    texts.write(out, peer.host());
    out.writeRawByte(peer.port() >> 8);
    out.writeRawByte(peer.port());
    out.writeSInt64NoTag(peer.incarnation() - since);
  }

  private void signal(CodedOutputStream out, EndpointObservation signal) throws IOException {
    int figures = signal.report().size();
    if (figures > GossipDecoder.MOST_FIGURES
        || !signal.report().stream().allMatch(Float::isFinite)) {
      throw new IOException("a load report of no use: " + signal.report());
    }
    out.writeRawByte(GossipDecoder.SIGNAL | figures << GossipDecoder.ITEM_BITS);
    texts.write(out, signal.store());
    texts.write(out, signal.author());
    out.writeUInt64NoTag(
        signal.startedMs() == 0
            ? 0
            : CodedOutputStream.encodeZigZag64(signal.startedMs() - sinceMs) + 1);
    out.writeUInt64NoTag(signal.number());
    out.writeSInt64NoTag(signal.seenUs() - seenUs);
    for (float figure : signal.report()) {
      out.writeFloatNoTag(figure);
    }
    out.writeUInt32NoTag(signal.failed());
  }

  private boolean put(Piece piece) {
    int known = texts.size();
    try {
      CodedOutputStream out = CodedOutputStream.newInstance(room, used, room.length - used);
      piece.write(out);
      if (out.getTotalBytesWritten() <= room.length - used) {
        used += out.getTotalBytesWritten();
        return true;
      }
    } catch (IOException e) {
      // it finds no room, or is longer than any reader takes: it is left out, and counted where it
      // is sent
    }
    texts.cutTo(known);
    return false;
  }

  /** True while there is no item in it. */
  boolean isBare() {
    return used == headBytes;
  }

  byte[] end() {
    byte[] all = Arrays.copyOf(room, used + GossipDecoder.SUM_BYTES);
    int sum = GossipDecoder.sum(all, used);
    for (int i = 0; i < GossipDecoder.SUM_BYTES; i++) {
      all[used + i] = (byte) (sum >>> (8 * (GossipDecoder.SUM_BYTES - 1 - i)));
    }
    return all;
  }
}

package dunlinhitch.cluster.gossip;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import java.io.IOException;
import java.util.zip.CRC32C;

/**
 * The encoding of gossip datagrams: protobuf varints without field tags. A datagram consists of the
 * version, the kind with flags, the sender, the optional fields that the flags indicate, a sequence
 * of items (members, endpoint observations and suspicions), and a checksum. Times are encoded as
 * differences from the sender's incarnation, which is usually its start time.
 *
 * <p>All fields are positional, so every change of the encoding requires a new {@link #VERSION}.
 */
final class WireFormat {
  static final int VERSION = 3;

  /** The first byte of a message of version 1, which was encoded as JSON. */
  static final int JSON_START = '{';

  /** The first version with a binary encoding. */
  static final int FIRST_BINARY_VERSION = 2;

  /** The highest possible version; a datagram with a larger first byte is not a gossip message. */
  static final int MAX_VERSION = 31;

  /**
   * The size of the CRC-32C at the end of a datagram, in bytes. The most significant byte comes
   * first.
   */
  static final int CHECKSUM_BYTES = 4;

  /**
   * The bits of the second byte that contain the kind. The other bits are the flags that are
   * defined below.
   */
  static final int KIND_MASK = 0x0f;

  static final int HAS_SUBJECT = 0x10;
  static final int HAS_VERSIONS = 0x20;
  static final int HAS_DIGEST = 0x40;
  static final int HAS_BUCKETS = 0x80;

  /**
   * The maximum number of buckets in a message. It leaves room for future versions with more
   * buckets, and the count fits in one byte.
   */
  static final int MAX_BUCKETS = 64;

  /**
   * The number of low bits in the first byte of an item that contain the item's type. The other
   * bits contain the status of a member, or the number of values in the load report of an
   * observation.
   */
  static final int ITEM_TYPE_BITS = 2;

  static final int ITEM_TYPE_MASK = (1 << ITEM_TYPE_BITS) - 1;
  static final int MEMBER_ITEM = 1;
  static final int OBSERVATION_ITEM = 2;
  static final int SUSPICION_ITEM = 3;

  /** The maximum number of values in the load report of an observation. */
  static final int MAX_REPORT_VALUES = 63;

  static final long US_PER_MS = 1000;

  private static final int BYTE_BITS = 8;
  private static final int BYTE_MASK = 0xff;

  /** The message kinds, indexed by their code on the wire. */
  private static final GossipMessage.Kind[] KINDS = {
    GossipMessage.Kind.PING,
    GossipMessage.Kind.ACK,
    GossipMessage.Kind.PING_REQUEST,
    GossipMessage.Kind.JOIN,
    GossipMessage.Kind.LEAVE,
    GossipMessage.Kind.GOSSIP
  };

  /** The member statuses, indexed by their code on the wire. */
  private static final Member.Status[] STATUSES = {
    Member.Status.ALIVE, Member.Status.SUSPECT, Member.Status.DEAD, Member.Status.LEFT
  };

  private WireFormat() {}

  /** The code of a kind on the wire; {@link #kind} is its inverse. */
  static int code(GossipMessage.Kind kind) {
    return switch (kind) {
      case PING -> 0;
      case ACK -> 1;
      case PING_REQUEST -> 2;
      case JOIN -> 3;
      case LEAVE -> 4;
      case GOSSIP -> 5;
    };
  }

  /** The code of a member's status on the wire; {@link #status} is its inverse. */
  static int code(Member.Status status) {
    return switch (status) {
      case ALIVE -> 0;
      case SUSPECT -> 1;
      case DEAD -> 2;
      case LEFT -> 3;
    };
  }

  /** The kind with the given code. */
  static GossipMessage.Kind kind(int code) throws IOException {
    return byCode(KINDS, code);
  }

  /** The status with the given code. */
  static Member.Status status(int code) throws IOException {
    return byCode(STATUSES, code);
  }

  private static <T> T byCode(T[] values, int code) throws IOException {
    if (code < 0 || code >= values.length) {
      throw new IOException("unknown code " + code + ", expected less than " + values.length);
    }
    return values[code];
  }

  /** Computes the checksum of the first {@code count} bytes. */
  static int computeChecksum(byte[] bytes, int count) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes, 0, count);
    return (int) checksum.getValue();
  }

  /** Computes the checksum of a datagram and writes it to the end of the array. */
  static void writeChecksum(byte[] datagram) {
    int start = datagram.length - CHECKSUM_BYTES;
    int checksum = computeChecksum(datagram, start);
    for (int i = 0; i < CHECKSUM_BYTES; i++) {
      datagram[start + i] = (byte) (checksum >>> (BYTE_BITS * (CHECKSUM_BYTES - 1 - i)));
    }
  }

  /**
   * Reads the checksum at the end of a datagram. Datagrams with equal checksums are treated as
   * duplicates.
   */
  static int readChecksum(byte[] datagram) {
    int checksum = 0;
    for (int i = datagram.length - CHECKSUM_BYTES; i < datagram.length; i++) {
      checksum = (checksum << BYTE_BITS) | (datagram[i] & BYTE_MASK);
    }
    return checksum;
  }
}

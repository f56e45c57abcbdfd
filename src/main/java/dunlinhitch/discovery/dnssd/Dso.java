package dunlinhitch.discovery.dnssd;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.xbill.DNS.DClass;
import org.xbill.DNS.DNSInput;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.WireParseException;

/**
 * Messages of DNS Stateful Operations (RFC 8490) and of DNS Push Notifications on them (RFC 8765),
 * which dnsjava does not know. A message is a head of 12 bytes with opcode 6 and all counts 0, then
 * type-length-value records; names in it are not compressed.
 */
public final class Dso {
  public static final int OPCODE = 6;
  public static final int KEEPALIVE = 0x0001;
  public static final int RETRY_DELAY = 0x0002;
  public static final int SUBSCRIBE = 0x0040;
  public static final int PUSH = 0x0041;
  public static final int UNSUBSCRIBE = 0x0042;

  /** TTLs with a meaning of their own (RFC 8765 section 6.3.1). */
  static final long REMOVE_ONE = 0xFFFF_FFFFL;

  static final long REMOVE_ALL = 0xFFFF_FFFEL;
  static final int MOST_TTL = Integer.MAX_VALUE;
  private static final int HEAD = 12;
  private static final int FIXED_OF_RECORD = 10;

  private Dso() {}

  /** One TLV. */
  public record Tlv(int type, byte[] data) {}

  /** {@code id} 0: one that wants no response. */
  public record Head(int id, boolean response, int rcode) {}

  /** A message, its first TLV being what it is about. */
  public record DsoMessage(Head head, List<Tlv> tlvs) {}

  /**
   * A change that a server pushes: {@code record} added, or removed; a null record: the whole set,
   * or with type 255 the whole name.
   */
  public record PushChange(boolean removed, Question key, Record record) {}

  /** With the two bytes of length before it that TCP wants. */
  public static Buffer write(Head head, Tlv... tlvs) {
    Buffer body =
        Buffer.buffer()
            .appendUnsignedShort(head.id())
            .appendUnsignedShort((head.response() ? 0x8000 : 0) | OPCODE << 11 | head.rcode())
            .appendLong(0);
    for (Tlv tlv : tlvs) {
      body.appendUnsignedShort(tlv.type())
          .appendUnsignedShort(tlv.data().length)
          .appendBytes(tlv.data());
    }
    return Buffer.buffer().appendUnsignedShort(body.length()).appendBuffer(body);
  }

  /** Throws where it is no such message. */
  public static DsoMessage read(byte[] bytes) throws IOException {
    DNSInput in = new DNSInput(bytes);
    int id = in.readU16();
    int flags = in.readU16();
    if ((flags >> 11 & 0xf) != OPCODE
        || bytes.length < HEAD
        || in.readU32() != 0
        || in.readU32() != 0) {
      throw new WireParseException("no message of stateful operations");
    }
    List<Tlv> tlvs = new ArrayList<>();
    while (in.remaining() > 0) {
      int type = in.readU16();
      tlvs.add(new Tlv(type, in.readByteArray(in.readU16())));
    }
    return new DsoMessage(new Head(id, (flags & 0x8000) != 0, flags & 0xf), tlvs);
  }

  public static Tlv keepAlive(long idleMs, long intervalMs) {
    return new Tlv(
        KEEPALIVE,
        Buffer.buffer().appendUnsignedInt(idleMs).appendUnsignedInt(intervalMs).getBytes());
  }

  public static Tlv retryDelay(long ms) {
    return new Tlv(RETRY_DELAY, Buffer.buffer().appendUnsignedInt(ms).getBytes());
  }

  /** Numbers of 32 bits that a TLV begins with. */
  public static long[] numbers(Tlv tlv, int count) throws IOException {
    DNSInput in = new DNSInput(tlv.data());
    long[] numbers = new long[count];
    for (int i = 0; i < count; i++) {
      numbers[i] = in.readU32();
    }
    return numbers;
  }

  public static Tlv subscribe(Question key) {
    return new Tlv(
        SUBSCRIBE,
        Buffer.buffer()
            .appendBytes(key.name().toWire())
            .appendUnsignedShort(key.type())
            .appendUnsignedShort(DClass.IN)
            .getBytes());
  }

  /** The id of the message that subscribed. */
  public static Tlv unsubscribe(int id) {
    return new Tlv(UNSUBSCRIBE, Buffer.buffer().appendUnsignedShort(id).getBytes());
  }

  public static Question subscribed(Tlv tlv) throws IOException {
    DNSInput in = new DNSInput(tlv.data());
    return new Question(new Name(in), in.readU16());
  }

  public static Tlv push(List<PushChange> changes) {
    Buffer out = Buffer.buffer();
    for (PushChange change : changes) {
      byte[] data = change.record() == null ? new byte[0] : change.record().rdataToWireCanonical();
      long ttl =
          !change.removed()
              ? change.record().getTTL()
              : change.record() == null ? REMOVE_ALL : REMOVE_ONE;
      out.appendBytes(change.key().name().toWire())
          .appendUnsignedShort(change.key().type())
          .appendUnsignedShort(DClass.IN)
          .appendUnsignedInt(ttl)
          .appendUnsignedShort(data.length)
          .appendBytes(data);
    }
    return new Tlv(PUSH, out.getBytes());
  }

  /** The changes of a PUSH; of a class other than IN none. */
  public static List<PushChange> pushed(Tlv tlv) throws IOException {
    DNSInput in = new DNSInput(tlv.data());
    List<PushChange> changes = new ArrayList<>();
    while (in.remaining() > 0) {
      Name name = new Name(in);
      if (in.remaining() < FIXED_OF_RECORD) {
        throw new WireParseException("a record that is cut off");
      }
      int type = in.readU16();
      int dclass = in.readU16();
      long ttl = in.readU32();
      byte[] data = in.readByteArray(in.readU16());
      if (dclass != DClass.IN && dclass != DClass.ANY) {
        continue;
      }
      Question key = new Question(name, type);
      if (ttl == REMOVE_ALL) {
        changes.add(new PushChange(true, key, null));
      } else if (ttl == REMOVE_ONE || ttl <= MOST_TTL) {
        boolean removed = ttl == REMOVE_ONE;
        Record record =
            Record.newRecord(name, type, DClass.IN, removed ? 0 : ttl, data.length, data);
        if (record == null) {
          throw new WireParseException("a record whose data can not be read");
        }
        changes.add(new PushChange(removed, key, record));
      } else {
        throw new WireParseException("a TTL without a meaning");
      }
    }
    return changes;
  }
}

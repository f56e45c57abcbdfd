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
 * Codec for DNS Stateful Operations (DSO, RFC 8490) and DNS Push Notifications (RFC 8765), which
 * dnsjava does not support. A message is a header of 12 bytes with opcode 6 and four record counts
 * of 0, followed by type-length-value (TLV) fields; domain names are not compressed.
 */
public final class Dso {
  /** Opcode of every DSO message. */
  public static final int OPCODE = 6;

  /** TLV type of a keep-alive. */
  public static final int KEEPALIVE = 0x0001;

  /** TLV type by which a server asks the client to disconnect for some time. */
  public static final int RETRY_DELAY = 0x0002;

  /** TLV type of a subscription. */
  public static final int SUBSCRIBE = 0x0040;

  /** TLV type of pushed changes. */
  public static final int PUSH = 0x0041;

  /** TLV type that ends a subscription. */
  public static final int UNSUBSCRIBE = 0x0042;

  /** TTL that marks the removal of one record (RFC 8765 section 6.3.1). */
  static final long REMOVE_RECORD_TTL = 0xFFFF_FFFFL;

  /** TTL that marks the removal of a record set or name (RFC 8765 section 6.3.1). */
  static final long REMOVE_SET_TTL = 0xFFFF_FFFEL;

  /** The largest valid TTL; the values between it and the two removal marks are reserved. */
  static final int MAX_TTL = Integer.MAX_VALUE;

  private static final int HEADER_BYTES = 12;

  /** Type, class, TTL and data length of a record. */
  private static final int FIXED_RECORD_BYTES = 10;

  private static final int RESPONSE_FLAG = 0x8000;
  private static final int OPCODE_SHIFT = 11;

  /** Opcode and response code are four bits wide. */
  private static final int NIBBLE = 0xf;

  private Dso() {}

  /**
   * One TLV field.
   *
   * @param type type of the field
   * @param data its value, which is not copied
   */
  @SuppressWarnings("ArrayRecordComponent") // TLVs are never compared.
  public record Tlv(int type, byte[] data) {}

  /**
   * Header of a message.
   *
   * @param id message id; 0 for a unidirectional message, which has no response
   * @param response true for a response, false for a request
   * @param rcode response code
   */
  public record Head(int id, boolean response, int rcode) {}

  /**
   * A message.
   *
   * @param head its header
   * @param tlvs its fields; the first is the primary TLV, which determines the kind of the message
   */
  public record DsoMessage(Head head, List<Tlv> tlvs) {}

  /**
   * A change that a server pushes.
   *
   * @param removed true for a removal, false for an addition
   * @param key name and type; type 255 (ANY) means all types of the name
   * @param record the record, or null if the complete set or name is removed
   */
  public record PushChange(boolean removed, Question key, Record record) {}

  /** Encodes a message, including the length prefix of DNS over TCP. */
  public static Buffer write(Head head, Tlv... tlvs) {
    int flags = (head.response() ? RESPONSE_FLAG : 0) | OPCODE << OPCODE_SHIFT | head.rcode();
    Buffer body =
        Buffer.buffer()
            .appendUnsignedShort(head.id())
            .appendUnsignedShort(flags)
            .appendLong(0); // four record counts of two bytes each
    for (Tlv tlv : tlvs) {
      body.appendUnsignedShort(tlv.type())
          .appendUnsignedShort(tlv.data().length)
          .appendBytes(tlv.data());
    }
    return Buffer.buffer().appendUnsignedShort(body.length()).appendBuffer(body);
  }

  /** Decodes a message without its length prefix; throws if it is not a DSO message. */
  public static DsoMessage read(byte[] bytes) throws IOException {
    DNSInput in = new DNSInput(bytes);
    int id = in.readU16();
    int flags = in.readU16();
    if ((flags >> OPCODE_SHIFT & NIBBLE) != OPCODE
        || bytes.length < HEADER_BYTES
        || in.readU32() != 0
        || in.readU32() != 0) {
      throw new WireParseException(
          "not a DSO message: expected a 12-byte header with opcode 6 and four record counts of 0");
    }
    List<Tlv> tlvs = new ArrayList<>();
    while (in.remaining() > 0) {
      int type = in.readU16();
      tlvs.add(new Tlv(type, in.readByteArray(in.readU16())));
    }
    Head head = new Head(id, (flags & RESPONSE_FLAG) != 0, flags & NIBBLE);
    return new DsoMessage(head, tlvs);
  }

  /** Encodes a keep-alive with the inactivity timeout and the interval, in milliseconds. */
  public static Tlv keepalive(long inactivityTimeoutMs, long intervalMs) {
    Buffer data =
        Buffer.buffer().appendUnsignedInt(inactivityTimeoutMs).appendUnsignedInt(intervalMs);
    return new Tlv(KEEPALIVE, data.getBytes());
  }

  /** Decodes the interval of a {@link #KEEPALIVE}, in milliseconds. */
  static long readKeepaliveIntervalMs(Tlv tlv) throws IOException {
    DNSInput in = new DNSInput(tlv.data());
    in.readU32(); // skips the inactivity timeout
    return in.readU32();
  }

  /** Encodes a request to the client to stay disconnected for {@code delayMs} milliseconds. */
  public static Tlv retryDelay(long delayMs) {
    return new Tlv(RETRY_DELAY, Buffer.buffer().appendUnsignedInt(delayMs).getBytes());
  }

  /** Decodes the delay of a {@link #RETRY_DELAY}, in milliseconds. */
  static long readRetryDelayMs(Tlv tlv) throws IOException {
    return new DNSInput(tlv.data()).readU32();
  }

  /** Encodes a subscription to the records of a name and type. */
  public static Tlv subscribe(Question key) {
    Buffer data =
        Buffer.buffer()
            .appendBytes(key.name().toWire())
            .appendUnsignedShort(key.type())
            .appendUnsignedShort(DClass.IN);
    return new Tlv(SUBSCRIBE, data.getBytes());
  }

  /** Decodes the name and type of a {@link #SUBSCRIBE}. */
  public static Question subscribed(Tlv tlv) throws IOException {
    DNSInput in = new DNSInput(tlv.data());
    return new Question(new Name(in), in.readU16());
  }

  /** Encodes a request to end the subscription that was requested by the message with this id. */
  public static Tlv unsubscribe(int id) {
    return new Tlv(UNSUBSCRIBE, Buffer.buffer().appendUnsignedShort(id).getBytes());
  }

  /** Encodes pushed changes. */
  public static Tlv push(List<PushChange> changes) {
    Buffer out = Buffer.buffer();
    for (PushChange change : changes) {
      byte[] data = change.record() == null ? new byte[0] : change.record().rdataToWireCanonical();
      out.appendBytes(change.key().name().toWire())
          .appendUnsignedShort(change.key().type())
          .appendUnsignedShort(DClass.IN)
          .appendUnsignedInt(ttl(change))
          .appendUnsignedShort(data.length)
          .appendBytes(data);
    }
    return new Tlv(PUSH, out.getBytes());
  }

  private static long ttl(PushChange change) {
    if (!change.removed()) {
      return change.record().getTTL();
    }
    return change.record() == null ? REMOVE_SET_TTL : REMOVE_RECORD_TTL;
  }

  /** Decodes the changes of a {@link #PUSH}, skipping those of classes other than IN and ANY. */
  static List<PushChange> readPush(Tlv tlv) throws IOException {
    DNSInput in = new DNSInput(tlv.data());
    List<PushChange> changes = new ArrayList<>();
    while (in.remaining() > 0) {
      Name name = new Name(in);
      if (in.remaining() < FIXED_RECORD_BYTES) {
        throw new WireParseException(
            "record header truncated: " + in.remaining() + " of " + FIXED_RECORD_BYTES + " bytes");
      }
      Question key = new Question(name, in.readU16());
      int dnsClass = in.readU16();
      long ttl = in.readU32();
      byte[] data = in.readByteArray(in.readU16());
      if (dnsClass == DClass.IN || dnsClass == DClass.ANY) {
        changes.add(change(key, ttl, data));
      }
    }
    return changes;
  }

  private static PushChange change(Question key, long ttl, byte[] data) throws IOException {
    if (ttl == REMOVE_SET_TTL) {
      return new PushChange(true, key, null);
    }
    boolean removed = ttl == REMOVE_RECORD_TTL;
    if (!removed && ttl > MAX_TTL) {
      throw new WireParseException("reserved TTL value: " + ttl);
    }
    Record record =
        Record.newRecord(key.name(), key.type(), DClass.IN, removed ? 0 : ttl, data.length, data);
    if (record == null) {
      throw new WireParseException(
          "cannot decode a record of type " + key.type() + " for " + key.name());
    }
    return new PushChange(removed, key, record);
  }
}

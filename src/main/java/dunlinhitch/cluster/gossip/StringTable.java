package dunlinhitch.cluster.gossip;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The strings of one datagram. A repeated string is encoded as a reference, usually of one byte;
 * IPv4 addresses and hexadecimal digests are encoded as their binary values. Each datagram has its
 * own table, because it must be possible to decode each datagram independently. Not thread-safe.
 */
final class StringTable {
  /** Marks a string that is encoded in UTF-8, preceded by the length. */
  private static final int PLAIN = 0;

  private static final int IPV4 = 1;

  /**
   * Marks a string of lower-case hexadecimal digits. It is encoded as the bytes that the digits
   * represent, preceded by the length.
   */
  private static final int HEX = 2;

  /** Marks a reference to the first string of the table. Larger values refer to later strings. */
  private static final int FIRST_REFERENCE = 3;

  private static final int MAX_BYTES = 200;
  private static final int IPV4_BYTES = 4;
  private static final Pattern EVEN_HEX = Pattern.compile("([0-9a-f]{2}){3,}");
  private final List<String> strings = new ArrayList<>();

  int size() {
    return strings.size();
  }

  /** Keeps only the first {@code size} strings. */
  void truncate(int size) {
    strings.subList(size, strings.size()).clear();
  }

  /** Writes a string. Throws if it does not fit or if a decoder would reject it. */
  void write(CodedOutputStream out, String text) throws IOException {
    int index = strings.indexOf(text);
    if (index >= 0) {
      out.writeUInt32NoTag(FIRST_REFERENCE + index);
      return;
    }
    byte[] plain = text.getBytes(StandardCharsets.UTF_8);
    if (plain.length > MAX_BYTES) {
      throw new IOException("string of " + plain.length + " bytes, expected at most " + MAX_BYTES);
    }
    if (isIpv4(text)) {
      out.writeUInt32NoTag(IPV4);
      out.writeRawBytes(NetUtil.createByteArrayFromIpAddressString(text));
    } else if (EVEN_HEX.matcher(text).matches()) {
      out.writeUInt32NoTag(HEX);
      out.writeByteArrayNoTag(HexFormat.of().parseHex(text));
    } else {
      out.writeUInt32NoTag(PLAIN);
      out.writeByteArrayNoTag(plain);
    }
    strings.add(text);
  }

  /**
   * Whether the text is an IPv4 address in the canonical form that decoding produces. Other forms,
   * such as 127.1 and 010.0.0.1, are excluded.
   */
  private static boolean isIpv4(String text) {
    return NetUtil.isValidIpV4Address(text)
        && NetUtil.bytesToIpAddress(NetUtil.createByteArrayFromIpAddressString(text)).equals(text);
  }

  /** Reads a string. */
  String read(CodedInputStream in) throws IOException {
    int form = in.readUInt32();
    if (form >= FIRST_REFERENCE && form - FIRST_REFERENCE < strings.size()) {
      return strings.get(form - FIRST_REFERENCE);
    }
    String text =
        switch (form) {
          case PLAIN -> in.readStringRequireUtf8();
          case IPV4 -> NetUtil.bytesToIpAddress(in.readRawBytes(IPV4_BYTES));
          case HEX -> HexFormat.of().formatHex(in.readByteArray());
          default ->
              throw new IOException(
                  "unknown string form " + form + " with a string table of size " + strings.size());
        };
    if (text.length() > MAX_BYTES) {
      throw new IOException(
          "string of " + text.length() + " characters, expected at most " + MAX_BYTES);
    }
    strings.add(text);
    return text;
  }
}

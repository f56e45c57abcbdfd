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
 * The texts of one datagram. One that stood before in it costs a byte; an IPv4 address and a digest
 * in hex go as the bytes that they mean. A datagram is read on its own, so nothing but itself is
 * referred to.
 */
final class StringTable {
  private static final int PLAIN = 0;
  private static final int IPV4 = 1;
  private static final int HEX = 2;
  private static final int BEFORE = 3;
  private static final int MOST_BYTES = 200;
  private static final Pattern EVEN_HEX = Pattern.compile("([0-9a-f]{2}){3,}");
  private final List<String> texts = new ArrayList<>();

  int size() {
    return texts.size();
  }

  /** Forgets what came after so many. */
  void cutTo(int size) {
    texts.subList(size, texts.size()).clear();
  }

  void write(CodedOutputStream out, String text) throws IOException {
    int before = texts.indexOf(text);
    if (before >= 0) {
      out.writeUInt32NoTag(BEFORE + before);
      return;
    }
    byte[] plain = text.getBytes(StandardCharsets.UTF_8);
    if (plain.length > MOST_BYTES) {
      throw new IOException("a text of " + plain.length + " bytes");
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
    texts.add(text);
  }

  /** One that reads back as it was written; 127.1 and 010.0.0.1 do not. */
  private static boolean isIpv4(String text) {
    return NetUtil.isValidIpV4Address(text)
        && NetUtil.bytesToIpAddress(NetUtil.createByteArrayFromIpAddressString(text)).equals(text);
  }

  String read(CodedInputStream in) throws IOException {
    int form = in.readUInt32();
    if (form >= BEFORE && form - BEFORE < texts.size()) {
      return texts.get(form - BEFORE);
    }
    String text =
        switch (form) {
          case PLAIN -> in.readStringRequireUtf8();
          case IPV4 -> NetUtil.bytesToIpAddress(in.readRawBytes(4));
          case HEX -> HexFormat.of().formatHex(in.readByteArray());
          default -> throw new IOException("text " + form + " of " + texts.size());
        };
    if (text.length() > MOST_BYTES) {
      throw new IOException("a text of " + text.length() + " letters");
    }
    texts.add(text);
    return text;
  }
}

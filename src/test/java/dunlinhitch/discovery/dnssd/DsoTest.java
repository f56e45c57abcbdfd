package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.discovery.dnssd.Dso.Head;
import dunlinhitch.discovery.dnssd.Dso.PushChange;
import dunlinhitch.discovery.dnssd.Dso.Tlv;
import io.vertx.core.buffer.Buffer;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Type;

/** Encoded bytes of DSO messages (RFC 8490) and push notifications (RFC 8765). */
class DsoTest {
  private static final String NO_COUNTS = "0000000000000000";
  private static final Question KEY = new Question(Names.parse("a.b."), Type.PTR);

  private static String hex(Buffer buffer) {
    return HexFormat.of().formatHex(buffer.getBytes());
  }

  private static String hexOf(Tlv tlv) {
    return HexFormat.of().formatHex(tlv.data());
  }

  @Test
  void aKeepaliveRequestHasItsLengthHeaderAndIntervals() {
    Buffer request = Dso.write(new Head(1, false, 0), Dso.keepalive(15_000, 20_000));
    assertEquals(
        "0018" + "0001" + "3000" + NO_COUNTS + "00010008" + "00003a9800004e20", hex(request));
  }

  @Test
  void aResponseHasItsFlagAndCode() {
    assertEquals("000c" + "0102" + "b00b" + NO_COUNTS, hex(Dso.write(new Head(0x102, true, 11))));
  }

  @Test
  void subscriptionsNameTheRecordsAndTheirEndNamesTheRequest() {
    assertEquals("0161016200" + "000c" + "0001", hexOf(Dso.subscribe(KEY)));
    assertEquals("0102", hexOf(Dso.unsubscribe(0x102)));
  }

  @Test
  void removalsAreMarkedByReservedTtls() {
    PTRRecord pointer = new PTRRecord(KEY.name(), DClass.IN, 100, Names.parse("c."));
    Tlv push =
        Dso.push(
            List.of(
                new PushChange(false, KEY, pointer),
                new PushChange(true, KEY, pointer),
                new PushChange(true, KEY, null)));
    String key = "0161016200" + "000c" + "0001";
    assertEquals(
        key
            + "00000064"
            + "0003016300"
            + key
            + "ffffffff"
            + "0003016300"
            + key
            + "fffffffe"
            + "0000",
        hexOf(push));
  }
}

package dunlinhitch.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Encodes the byte examples of the simulator's protocol description. */
class ReplyEncoderTest {
  @Test
  void encodesActionsAsInTheProtocolExamples() {
    ReplyEncoder encoder = new ReplyEncoder();
    encoder.selectInstance(3, 0);
    encoder.send(0x5d3a91c4, 0x03124a07, 80_000);
    encoder.scheduleTimer(77, 500_000);
    encoder.selectInstance(5, 0);
    encoder.log("two servers known");
    assertArrayEquals(
        ProtocolHex.parse(
            """
                52000000 03000000 0c000000
                50 10000000 03000000 c4913a5d 074a1203 80380100
                54 10000000 03000000 4d00000000000000 20a10700
                58 17000000 05000000 1100 74776f2073657276657273206b6e6f776e"""),
        encoder.finish(12));
    encoder.selectInstance(3, 0);
    encoder.answer(0x0e6f2b19, true);
    byte[] frame = encoder.finish(13);
    assertArrayEquals(
        ProtocolHex.parse("5c 09000000 03000000 192b6f0e 01"),
        Arrays.copyOfRange(frame, 12, frame.length));
  }

  @Test
  void encodesRemainingActionsWithTheirCodesAndSizes() {
    ReplyEncoder encoder = new ReplyEncoder();
    encoder.selectInstance(3, 0);
    encoder.reject(1, 7);
    encoder.fail(1);
    encoder.cancel(1, 2);
    encoder.sendHealthCheck(4);
    encoder.subscribeToServerList();
    encoder.panic("x");
    assertArrayEquals(
        ProtocolHex.parse(
            """
                5c000000 06000000 01000000
                51 0c000000 03000000 01000000 07000000
                52 08000000 03000000 01000000
                53 0a000000 03000000 01000000 0200
                55 08000000 03000000 04000000
                5a 05000000 03000000 01
                59 07000000 03000000 0100 78"""),
        encoder.finish(1));
  }

  @Test
  void encodesClosingOfIdleConnections() {
    ReplyEncoder encoder = new ReplyEncoder();
    encoder.selectInstance(3, 0);
    encoder.closeIdleConnections(77);
    ByteBuffer frame = ByteBuffer.wrap(encoder.finish(1)).order(ByteOrder.LITTLE_ENDIAN);
    assertEquals(86, frame.get(12));
    assertEquals(8, frame.getInt(13));
    assertEquals(3, frame.getInt(17));
    assertEquals(77, frame.getInt(21));
  }
}

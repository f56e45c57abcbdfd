package dunlinhitch.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Runs the adapter on complete and malformed frames. */
class SimulatorAdapterTest {
  @Test
  void repliesToAnEmptyBatch() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter()
        .run(
            new ByteArrayInputStream(
                ProtocolHex.parse("00000000 14000000 5a5c800000000000 01000000")),
            out);
    assertArrayEquals(ProtocolHex.parse("0c000000 00000000 01000000"), out.toByteArray());
  }

  @Test
  void reportsAFaultOfAnInstanceAsAPanicRecord() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter()
        .run(
            new ByteArrayInputStream(
                ProtocolHex.parse(
                    """
                01000000 2b000000 5a5c800000000000 01000000
                14 12000000 03000000 0000000000000000 02000000 7b7d""")),
            out);
    assertEquals(89, out.toByteArray()[12]);
  }

  @Test
  void rejectsFramesThatAreCutShort() {
    assertThrows(
        MalformedFrameException.class,
        () ->
            new SimulatorAdapter()
                .run(
                    new ByteArrayInputStream(ProtocolHex.parse("00000000 1400")),
                    new ByteArrayOutputStream()));
    assertThrows(
        MalformedFrameException.class,
        () ->
            new SimulatorAdapter()
                .run(
                    new ByteArrayInputStream(
                        ProtocolHex.parse("01000000 20000000 5a5c800000000000 01000000 15")),
                    new ByteArrayOutputStream()));
  }
}

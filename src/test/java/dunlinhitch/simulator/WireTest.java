package dunlinhitch.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerEntry;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.config.SettingsReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The codec against the byte examples of the wire page. */
class WireTest {
  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
  }

  private static final class Collected implements BatchReader.Sink {
    final List<BalancerEvent> events = new ArrayList<>();
    final List<Integer> instances = new ArrayList<>();

    @Override
    public void up(int instance, long seed, String settings) {
      instances.add(instance);
    }

    @Override
    public void stop(int instance) {
      instances.add(-instance);
    }

    @Override
    public void event(int instance, BalancerEvent event) {
      instances.add(instance);
      events.add(event);
    }
  }

  private static Collected read(int records, String body) throws FormatException {
    Collected sink = new Collected();
    new BatchReader().read(hex(body), records, 0, sink);
    return sink;
  }

  @Test
  void emptyBatchHasItsReply() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter()
        .run(new ByteArrayInputStream(hex("00000000 14000000 5a5c800000000000 01000000")), out);
    assertArrayEquals(hex("0c000000 00000000 01000000"), out.toByteArray());
  }

  @Test
  void batchOfThreeRecords() throws FormatException {
    Collected sink =
        read(
            3,
            """
                19 2c000000 03000000 c4913a5d 00000000 640ad2557c3bf091 0000003e 00005643 80a90300 0100 0000
                00000000 e02e0000
                15 0c000000 03000000 4d00000000000000
                12 08000000 05000000 192b6f0e""");
    assertEquals(List.of(3, 3, 5), sink.instances);
    BalancerEvent.PartArrived part = (BalancerEvent.PartArrived) sink.events.get(0);
    assertEquals(new BalancerEvent.PartArrived(0x5d3a91c4, 214, 0, 0.125, 12_000), part);
    assertEquals(new BalancerEvent.TimerFired(77), sink.events.get(1));
    assertEquals(new BalancerEvent.ClientDisconnected(0x0e6f2b19), sink.events.get(2));
  }

  @Test
  void hintCountsOnlyWhereItIsMarkedAndQueriesAreBelowShardZero() throws FormatException {
    Collected sink =
        read(
            1,
            """
                19 2c000000 03000000 c4913a5d 02000000 0000000000000000 0000c040 00005643 80a90300 0200 0100
                000080bf e02e0000""");
    assertEquals(
        new BalancerEvent.QueryArrived(0x5d3a91c4, 214, 1, 2, 6, 240_000, 0, true),
        sink.events.get(0));
  }

  @Test
  void outcomeWithAndWithoutReport() throws FormatException {
    BalancerEvent.AttemptCompleted e =
        (BalancerEvent.AttemptCompleted)
            read(1, "13 16000000 03000000 c4913a5d 0000 6400 074a1203 44480000 01 00")
                .events
                .get(0);
    assertEquals(AttemptOutcome.OK, e.outcome());
    assertEquals(0x03124a07, e.server());
    assertEquals(18_500, e.elapsedUs());
    assertTrue(e.settled());
    assertEquals(0, e.report().length);
    e =
        (BalancerEvent.AttemptCompleted)
            read(
                    1,
                    "13 1e000000 03000000 c4913a5d 0100 2e01 074a1203 44480000 00 02 0000803f 00000040")
                .events
                .get(0);
    assertEquals(AttemptOutcome.FULL, e.outcome());
    assertArrayEquals(new float[] {1, 2}, e.report());
  }

  @Test
  void listsAreResolvedInOrder() throws FormatException {
    Collected sink =
        read(
            2,
            """
                11 32000000 0000 02000000
                074a1203 0000 00 0000 01 0000803f 0000000000000000
                f211902c 0100 00 0000 01 0000c03f 20145d0000000000
                16 0f000000 03000000 2900000000000000 0000 02""");
    BalancerEvent.ServerListUpdated list = (BalancerEvent.ServerListUpdated) sink.events.get(0);
    assertEquals(ServerListKind.CACHED, list.kind());
    assertEquals(
        new ServerEntry(0x2c9011f2, 1, 0, ServerState.READY, 1.5, 6_100_000),
        list.servers().get(1));
  }

  @Test
  void remainingEventsAreRead() throws FormatException {
    Collected sink =
        read(
            5,
            """
                10 12000000 03000000 c4913a5d 0100 074a1203 44480000
                17 13000000 03000000 074a1203 6400 44480000 01 0000803f
                18 09000000 03000000 0200 0100 ff
                16 0f000000 03000000 2900000000000000 0000 03
                1a 04000000 03000000""");
    assertEquals(
        new BalancerEvent.AttemptStarted(0x5d3a91c4, 1, 0x03124a07, 18_500), sink.events.get(0));
    assertEquals(
        AttemptOutcome.OK, ((BalancerEvent.HealthCheckCompleted) sink.events.get(1)).outcome());
    assertEquals(2, ((BalancerEvent.PeerMessageReceived) sink.events.get(2)).sender());
    assertEquals(
        ServerListKind.FAILED, ((BalancerEvent.ServerListUpdated) sink.events.get(3)).kind());
    assertEquals(-3, sink.instances.get(4));
  }

  @Test
  void actionsMatchTheExamples() {
    ReplyWriter writer = new ReplyWriter();
    writer.instance(3, 0);
    writer.send(0x5d3a91c4, 0x03124a07, 80_000);
    writer.scheduleTimer(77, 500_000);
    writer.instance(5, 0);
    writer.log("two servers known");
    assertArrayEquals(
        hex(
            """
                52000000 03000000 0c000000
                50 10000000 03000000 c4913a5d 074a1203 80380100
                54 10000000 03000000 4d00000000000000 20a10700
                58 17000000 05000000 1100 74776f2073657276657273206b6e6f776e"""),
        writer.finish(12));
    writer.instance(3, 0);
    writer.answer(0x0e6f2b19, true);
    byte[] frame = writer.finish(13);
    assertArrayEquals(
        hex("5c 09000000 03000000 192b6f0e 01"), Arrays.copyOfRange(frame, 12, frame.length));
  }

  @Test
  void otherActionsHaveTheirCodesAndSizes() {
    ReplyWriter writer = new ReplyWriter();
    writer.instance(3, 0);
    writer.reject(1, 7);
    writer.fail(1);
    writer.cancel(1, 2);
    writer.sendHealthCheck(4);
    writer.subscribeToServerList();
    writer.panic("x");
    assertArrayEquals(
        hex(
            """
                5c000000 06000000 01000000
                51 0c000000 03000000 01000000 07000000
                52 08000000 03000000 01000000
                53 0a000000 03000000 01000000 0200
                55 08000000 03000000 04000000
                5a 05000000 03000000 01
                59 07000000 03000000 0100 78"""),
        writer.finish(1));
  }

  @Test
  void malformedFramesAreRefused() {
    assertThrows(FormatException.class, () -> read(1, "15 0c000000 03000000"));
    assertThrows(FormatException.class, () -> read(1, "15 04000000 03000000"));
    assertThrows(FormatException.class, () -> read(1, "63 04000000 03000000"));
    assertThrows(FormatException.class, () -> read(0, "00"));
    assertThrows(
        FormatException.class,
        () ->
            new SimulatorAdapter()
                .run(new ByteArrayInputStream(hex("00000000 1400")), new ByteArrayOutputStream()));
    assertThrows(
        FormatException.class,
        () ->
            new SimulatorAdapter()
                .run(
                    new ByteArrayInputStream(hex("01000000 20000000 5a5c800000000000 01000000 15")),
                    new ByteArrayOutputStream()));
  }

  @Test
  void unknownSettingsAreIgnoredAndAbsentOnesTakeTheDefault() {
    Settings s =
        SettingsReader.read(
            """
                {"New": [1], "Classes": [{"DeadlineUs": 5000, "OnTimeUs": 1000, "Idempotency": "guarded"}],
                 "Domain": {"ClassNeed": [0.5]}, "Report": {"Via": "probe", "Fields": ["backlog", "x0"]}}""");
    assertEquals(Idempotency.GUARDED, s.classes().get(0).repeat());
    assertEquals(0.5, s.classes().get(0).floor());
    assertEquals(-1, s.rules().retryRatio());
    assertEquals(List.of(LoadReportField.BACKLOG, LoadReportField.OTHER), s.reportFields());
    assertTrue(s.reportsInHealthChecks() && !s.reportsInAnswers() && !s.mustPollServerList());
  }

  @Test
  void aFaultInTheDecisionsIsReportedAsTheWireProvides() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter()
        .run(
            new ByteArrayInputStream(
                hex(
                    """
                01000000 2b000000 5a5c800000000000 01000000
                14 12000000 03000000 0000000000000000 02000000 7b7d""")),
            out);
    assertEquals(89, out.toByteArray()[12]);
  }

  @Test
  void releaseIsWrittenAsTheWireHasIt() {
    ReplyWriter writer = new ReplyWriter();
    writer.instance(3, 0);
    writer.closeIdleConnections(77);
    java.nio.ByteBuffer frame =
        java.nio.ByteBuffer.wrap(writer.finish(1)).order(java.nio.ByteOrder.LITTLE_ENDIAN);
    assertEquals(86, frame.get(12));
    assertEquals(8, frame.getInt(13));
    assertEquals(3, frame.getInt(17));
    assertEquals(77, frame.getInt(21));
  }
}

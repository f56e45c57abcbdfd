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
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decodes the byte examples of the simulator's protocol description. */
class BatchDecoderTest {
  private static final class RecordingHandler implements BatchDecoder.Handler {
    final List<BalancerEvent> events = new ArrayList<>();
    final List<Integer> instances = new ArrayList<>();

    @Override
    public void onInstanceStarted(int instance, long seed, String settings) {
      instances.add(instance);
    }

    @Override
    public void onInstanceStopped(int instance) {
      instances.add(-instance);
    }

    @Override
    public void onEvent(int instance, BalancerEvent event) {
      instances.add(instance);
      events.add(event);
    }
  }

  private static RecordingHandler decode(int records, String body) throws MalformedFrameException {
    RecordingHandler handler = new RecordingHandler();
    new BatchDecoder().decode(ProtocolHex.parse(body), records, 0, handler);
    return handler;
  }

  @Test
  void decodesABatchOfThreeRecords() throws MalformedFrameException {
    RecordingHandler handler =
        decode(
            3,
            """
                19 2c000000 03000000 c4913a5d 00000000 640ad2557c3bf091 0000003e 00005643 80a90300 0100 0000
                00000000 e02e0000
                15 0c000000 03000000 4d00000000000000
                12 08000000 05000000 192b6f0e""");
    assertEquals(List.of(3, 3, 5), handler.instances);
    BalancerEvent.PartArrived part = (BalancerEvent.PartArrived) handler.events.get(0);
    assertEquals(new BalancerEvent.PartArrived(0x5d3a91c4, 214, 0, 0.125, 12_000), part);
    assertEquals(new BalancerEvent.TimerFired(77), handler.events.get(1));
    assertEquals(new BalancerEvent.ClientDisconnected(0x0e6f2b19), handler.events.get(2));
  }

  @Test
  void hintIsIgnoredUnlessMarkedValidAndNegativeShardIsAQuery() throws MalformedFrameException {
    RecordingHandler handler =
        decode(
            1,
            """
                19 2c000000 03000000 c4913a5d 02000000 0000000000000000 0000c040 00005643 80a90300 0200 0100
                000080bf e02e0000""");
    assertEquals(
        new BalancerEvent.QueryArrived(0x5d3a91c4, 214, 1, 2, 6, 240_000, 0, true),
        handler.events.get(0));
  }

  @Test
  void decodesAttemptOutcomeWithAndWithoutLoadReport() throws MalformedFrameException {
    BalancerEvent.AttemptCompleted completed =
        (BalancerEvent.AttemptCompleted)
            decode(1, "13 16000000 03000000 c4913a5d 0000 6400 074a1203 44480000 01 00")
                .events
                .get(0);
    assertEquals(AttemptOutcome.OK, completed.outcome());
    assertEquals(0x03124a07, completed.server());
    assertEquals(18_500, completed.elapsedUs());
    assertTrue(completed.settled());
    assertEquals(0, completed.report().length);
    completed =
        (BalancerEvent.AttemptCompleted)
            decode(
                    1,
                    "13 1e000000 03000000 c4913a5d 0100 2e01 074a1203 44480000 00 02 0000803f 00000040")
                .events
                .get(0);
    assertEquals(AttemptOutcome.FULL, completed.outcome());
    assertArrayEquals(new float[] {1, 2}, completed.report());
  }

  @Test
  void serverListUpdateRefersToAnEarlierPage() throws MalformedFrameException {
    RecordingHandler handler =
        decode(
            2,
            """
                11 32000000 0000 02000000
                074a1203 0000 00 0000 01 0000803f 0000000000000000
                f211902c 0100 00 0000 01 0000c03f 20145d0000000000
                16 0f000000 03000000 2900000000000000 0000 02""");
    BalancerEvent.ServerListUpdated list = (BalancerEvent.ServerListUpdated) handler.events.get(0);
    assertEquals(ServerListKind.CACHED, list.kind());
    assertEquals(
        new ServerEntry(0x2c9011f2, 1, 0, ServerState.READY, 1.5, 6_100_000),
        list.servers().get(1));
  }

  @Test
  void decodesRemainingRecordCodes() throws MalformedFrameException {
    RecordingHandler handler =
        decode(
            5,
            """
                10 12000000 03000000 c4913a5d 0100 074a1203 44480000
                17 13000000 03000000 074a1203 6400 44480000 01 0000803f
                18 09000000 03000000 0200 0100 ff
                16 0f000000 03000000 2900000000000000 0000 03
                1a 04000000 03000000""");
    assertEquals(
        new BalancerEvent.AttemptStarted(0x5d3a91c4, 1, 0x03124a07, 18_500), handler.events.get(0));
    assertEquals(
        AttemptOutcome.OK, ((BalancerEvent.HealthCheckCompleted) handler.events.get(1)).outcome());
    assertEquals(2, ((BalancerEvent.PeerMessageReceived) handler.events.get(2)).sender());
    assertEquals(
        ServerListKind.FAILED, ((BalancerEvent.ServerListUpdated) handler.events.get(3)).kind());
    assertEquals(-3, handler.instances.get(4));
  }

  @Test
  void rejectsMalformedRecords() {
    assertThrows(MalformedFrameException.class, () -> decode(1, "15 0c000000 03000000"));
    assertThrows(MalformedFrameException.class, () -> decode(1, "15 04000000 03000000"));
    assertThrows(MalformedFrameException.class, () -> decode(1, "63 04000000 03000000"));
    assertThrows(MalformedFrameException.class, () -> decode(0, "00"));
  }
}

package dunlinhitch.simulator;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerEntry;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes the records of a batch, one after the other, and keeps the shared numbered server lists.
 */
final class BatchReader {
  /** Takes what was read, in order. */
  interface Sink {
    void up(int instance, long seed, String settings);

    void stop(int instance);

    void event(int instance, BalancerEvent event);
  }

  private static final int HINT_VALID = 1;
  private static final int REPEAT = 2;
  private static final int ENTRY_BYTES = 22;
  private final Map<Integer, List<ServerEntry>> pages = new HashMap<>();
  private long nowUs;

  /** Reads {@code records} records from the body of a frame. */
  void read(byte[] body, int records, long clockUs, Sink sink) throws FormatException {
    nowUs = clockUs;
    ByteBuffer in = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
    try {
      for (int i = 0; i < records; i++) {
        int code = in.get() & 0xFF;
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) {
          throw new FormatException("record " + i + " is longer than its frame");
        }
        ByteBuffer fields = in.slice(in.position(), length).order(ByteOrder.LITTLE_ENDIAN);
        in.position(in.position() + length);
        record(code, fields, sink);
      }
    } catch (BufferUnderflowException e) {
      throw new FormatException("a record is cut short");
    }
    if (in.hasRemaining()) {
      throw new FormatException("the frame is longer than its records");
    }
  }

  private void record(int code, ByteBuffer in, Sink sink) throws FormatException {
    if (code == 17) {
      page(in);
      return;
    }
    int instance = in.getInt();
    switch (code) {
      case 21 -> sink.event(instance, new BalancerEvent.TimerFired(in.getLong()));
      case 16 ->
          sink.event(
              instance,
              new BalancerEvent.AttemptStarted(
                  in.getInt(), in.getShort() & 0xFFFF, in.getInt(), u32(in)));
      case 18 -> sink.event(instance, new BalancerEvent.ClientDisconnected(in.getInt()));
      case 19 ->
          sink.event(
              instance,
              new BalancerEvent.AttemptCompleted(
                  in.getInt(),
                  in.getShort() & 0xFFFF,
                  outcome(in.getShort() & 0xFFFF),
                  in.getInt(),
                  u32(in),
                  in.get() != 0,
                  report(in)));
      case 20 -> sink.up(instance, in.getLong(), text(in));
      case 22 -> sink.event(instance, list(in));
      case 23 ->
          sink.event(
              instance,
              new BalancerEvent.HealthCheckCompleted(
                  in.getInt(), outcome(in.getShort() & 0xFFFF), u32(in), report(in)));
      case 24 -> sink.event(instance, peer(in));
      case 25 -> sink.event(instance, submit(in));
      case 26 -> sink.stop(instance);
      default -> throw new FormatException("unknown record code " + code);
    }
  }

  private void page(ByteBuffer in) throws FormatException {
    int number = in.getShort() & 0xFFFF;
    int count = in.getInt();
    if (count < 0 || (long) count * ENTRY_BYTES > in.remaining()) {
      throw new FormatException("a server list is cut short");
    }
    List<ServerEntry> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int id = in.getInt();
      int zone = in.getShort() & 0xFFFF;
      in.get();
      int cell = in.getShort() & 0xFFFF;
      int state = in.get();
      entries.add(
          new ServerEntry(
              id,
              zone,
              cell,
              state == 1 ? ServerState.READY : state == 2 ? ServerState.DRAINING : ServerState.GONE,
              in.getFloat(),
              in.getLong()));
    }
    pages.put(number, List.copyOf(entries));
  }

  private BalancerEvent list(ByteBuffer in) throws FormatException {
    in.getLong();
    int page = in.getShort() & 0xFFFF;
    int kind = in.get();
    if (kind == 3) {
      return new BalancerEvent.ServerListUpdated(ServerListKind.FAILED, List.of());
    }
    List<ServerEntry> entries = pages.get(page);
    if (entries == null || kind < 0 || kind > 3) {
      throw new FormatException("a server list of kind " + kind + " names list " + page);
    }
    return new BalancerEvent.ServerListUpdated(
        kind == 0 ? ServerListKind.DELTA : kind == 1 ? ServerListKind.FULL : ServerListKind.CACHED,
        entries);
  }

  private BalancerEvent submit(ByteBuffer in) {
    int id = in.getInt();
    int tenant = in.getInt();
    in.getLong();
    float measure = in.getFloat();
    long number = (long) in.getFloat();
    long expires = u32(in);
    int attributes = in.getShort() & 0xFFFF;
    int queryClass = in.getShort() & 0xFFFF;
    float shard = in.getFloat();
    long hint = in.remaining() >= 4 ? u32(in) : 0;
    long given = (attributes & HINT_VALID) != 0 ? hint : 0;
    if (shard < 0) {
      return new BalancerEvent.QueryArrived(
          id,
          number,
          queryClass,
          tenant,
          Math.round(measure),
          nowUs + expires,
          given,
          (attributes & REPEAT) != 0);
    }
    return new BalancerEvent.PartArrived(id, number, (int) shard, measure, given);
  }

  private static BalancerEvent peer(ByteBuffer in) {
    int author = in.getShort() & 0xFFFF;
    byte[] content = new byte[in.getShort() & 0xFFFF];
    in.get(content);
    return new BalancerEvent.PeerMessageReceived(author, content);
  }

  private static long u32(ByteBuffer in) {
    return in.getInt() & 0xFFFF_FFFFL;
  }

  private static String text(ByteBuffer in) throws FormatException {
    int length = in.getInt();
    if (length < 0 || length > in.remaining()) {
      throw new FormatException("the settings are cut short");
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static float[] report(ByteBuffer in) {
    float[] values = new float[in.hasRemaining() ? in.get() & 0xFF : 0];
    for (int i = 0; i < values.length; i++) {
      values[i] = in.getFloat();
    }
    return values;
  }

  private static AttemptOutcome outcome(int code) {
    return switch (code) {
      case 100 -> AttemptOutcome.OK;
      case 302 -> AttemptOutcome.FULL;
      case 303 -> AttemptOutcome.TIMEOUT;
      case 304 -> AttemptOutcome.CONNECT_FAILED;
      case 305 -> AttemptOutcome.RESET;
      case 306 -> AttemptOutcome.CANCELLED;
      case 307 -> AttemptOutcome.MOOT;
      default -> AttemptOutcome.ERROR;
    };
  }
}

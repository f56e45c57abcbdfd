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
 * Decodes the records of a batch in order. It retains the numbered server-list pages of all
 * batches, because later records refer to a page by its number.
 *
 * <p>Not thread-safe; the {@link SimulatorAdapter} owns it.
 */
final class BatchDecoder {
  /** Receives the decoded records in the order of the batch, on the decoding thread. */
  interface Handler {
    /** Called when an instance starts. */
    void onInstanceStarted(int instance, long seed, String settings);

    /** Called when an instance stops; further records for it are ignored. */
    void onInstanceStopped(int instance);

    /** Called for each event of a running instance. */
    void onEvent(int instance, BalancerEvent event);
  }

  /** Attribute bit of an arrived query or part: the client's hint is valid. */
  private static final int ATTRIBUTE_HINT_VALID = 1;

  /** Attribute bit of an arrived query: the client marked it as a retry. */
  private static final int ATTRIBUTE_RETRY = 2;

  /** Encoded size of one entry of a server-list page. */
  private static final int SERVER_ENTRY_BYTES = 22;

  /** Codes for the kind of a server-list update. */
  private static final int LIST_DELTA = 0;

  private static final int LIST_FULL = 1;
  private static final int LIST_CACHED = 2;
  private static final int LIST_FAILED = 3;

  private final Map<Integer, List<ServerEntry>> serverListPages = new HashMap<>();
  private long nowUs;

  /**
   * Decodes the body of one frame.
   *
   * @param body the frame without its header
   * @param records number of records in the body
   * @param clockUs the simulator's time in microseconds, to which durations in the records are
   *     relative
   * @param handler receives the records; records before a malformed one have already been passed to
   *     it
   */
  void decode(byte[] body, int records, long clockUs, Handler handler)
      throws MalformedFrameException {
    nowUs = clockUs;
    ByteBuffer buffer = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
    try {
      for (int i = 0; i < records; i++) {
        int code = unsignedByte(buffer);
        int length = buffer.getInt();
        if (length < 0 || length > buffer.remaining()) {
          throw new MalformedFrameException(
              "record "
                  + i
                  + " has length "
                  + length
                  + ", but only "
                  + buffer.remaining()
                  + " bytes remain in its frame");
        }
        ByteBuffer fields = buffer.slice(buffer.position(), length).order(ByteOrder.LITTLE_ENDIAN);
        buffer.position(buffer.position() + length);
        decodeRecord(code, fields, handler);
      }
    } catch (BufferUnderflowException e) {
      throw new MalformedFrameException("a record has fewer bytes than its fields require");
    }
    if (buffer.hasRemaining()) {
      throw new MalformedFrameException(
          "the frame has " + buffer.remaining() + " bytes after its last record");
    }
  }

  private void decodeRecord(int code, ByteBuffer fields, Handler handler)
      throws MalformedFrameException {
    if (code == RecordCode.SERVER_LIST_PAGE) {
      decodeServerListPage(fields);
      return;
    }
    int instance = fields.getInt();
    switch (code) {
      case RecordCode.INSTANCE_STARTED ->
          handler.onInstanceStarted(instance, fields.getLong(), decodeSettings(fields));
      case RecordCode.INSTANCE_STOPPED -> handler.onInstanceStopped(instance);
      default -> handler.onEvent(instance, decodeEvent(code, fields));
    }
  }

  private BalancerEvent decodeEvent(int code, ByteBuffer fields) throws MalformedFrameException {
    return switch (code) {
      case RecordCode.TIMER_FIRED -> new BalancerEvent.TimerFired(fields.getLong());
      case RecordCode.ATTEMPT_STARTED ->
          new BalancerEvent.AttemptStarted(
              fields.getInt(), unsignedShort(fields), fields.getInt(), unsignedInt(fields));
      case RecordCode.CLIENT_DISCONNECTED -> new BalancerEvent.ClientDisconnected(fields.getInt());
      case RecordCode.ATTEMPT_COMPLETED -> decodeAttemptCompleted(fields);
      case RecordCode.SERVER_LIST_UPDATED -> decodeServerListUpdated(fields);
      case RecordCode.HEALTH_CHECK_COMPLETED ->
          new BalancerEvent.HealthCheckCompleted(
              fields.getInt(),
              outcomeOf(unsignedShort(fields)),
              unsignedInt(fields),
              decodeLoadReport(fields));
      case RecordCode.PEER_MESSAGE_RECEIVED -> decodePeerMessage(fields);
      case RecordCode.WORK_ARRIVED -> decodeWorkArrived(fields);
      default -> throw new MalformedFrameException("unknown record code " + code);
    };
  }

  private static BalancerEvent decodeAttemptCompleted(ByteBuffer fields) {
    return new BalancerEvent.AttemptCompleted(
        fields.getInt(),
        unsignedShort(fields),
        outcomeOf(unsignedShort(fields)),
        fields.getInt(),
        unsignedInt(fields),
        fields.get() != 0,
        decodeLoadReport(fields));
  }

  private void decodeServerListPage(ByteBuffer fields) throws MalformedFrameException {
    int number = unsignedShort(fields);
    int count = fields.getInt();
    if (count < 0 || (long) count * SERVER_ENTRY_BYTES > fields.remaining()) {
      throw new MalformedFrameException(
          "a server-list page has fewer bytes than its entry count requires");
    }
    List<ServerEntry> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      entries.add(decodeServerEntry(fields));
    }
    serverListPages.put(number, List.copyOf(entries));
  }

  private static ServerEntry decodeServerEntry(ByteBuffer fields) {
    int id = fields.getInt();
    int zone = unsignedShort(fields);
    // Skips a field that the balancer does not use.
    fields.get();
    int cell = unsignedShort(fields);
    int state = fields.get();
    return new ServerEntry(id, zone, cell, stateOf(state), fields.getFloat(), fields.getLong());
  }

  private static ServerState stateOf(int code) {
    return switch (code) {
      case 1 -> ServerState.READY;
      case 2 -> ServerState.DRAINING;
      default -> ServerState.GONE;
    };
  }

  private BalancerEvent decodeServerListUpdated(ByteBuffer fields) throws MalformedFrameException {
    // Skips a field that the balancer does not use.
    fields.getLong();
    int page = unsignedShort(fields);
    int kind = fields.get();
    if (kind == LIST_FAILED) {
      return new BalancerEvent.ServerListUpdated(ServerListKind.FAILED, List.of());
    }
    List<ServerEntry> entries = serverListPages.get(page);
    if (entries == null || kind < LIST_DELTA || kind > LIST_CACHED) {
      throw new MalformedFrameException(
          "server-list update with unknown kind or page: kind " + kind + ", page " + page);
    }
    return new BalancerEvent.ServerListUpdated(listKindOf(kind), entries);
  }

  private static ServerListKind listKindOf(int code) {
    return switch (code) {
      case LIST_DELTA -> ServerListKind.DELTA;
      case LIST_FULL -> ServerListKind.FULL;
      default -> ServerListKind.CACHED;
    };
  }

  /** Decodes a query if the shard is negative, otherwise one part of a query. */
  private BalancerEvent decodeWorkArrived(ByteBuffer fields) {
    int id = fields.getInt();
    int tenant = fields.getInt();
    // Skips a field that the balancer does not use.
    fields.getLong();
    float size = fields.getFloat();
    long number = (long) fields.getFloat();
    long expiresInUs = unsignedInt(fields);
    int attributes = unsignedShort(fields);
    int queryClass = unsignedShort(fields);
    float shard = fields.getFloat();
    long encodedHint = fields.remaining() >= Integer.BYTES ? unsignedInt(fields) : 0;
    long hint = (attributes & ATTRIBUTE_HINT_VALID) != 0 ? encodedHint : 0;
    if (shard < 0) {
      return new BalancerEvent.QueryArrived(
          id,
          number,
          queryClass,
          tenant,
          Math.round(size),
          nowUs + expiresInUs,
          hint,
          (attributes & ATTRIBUTE_RETRY) != 0);
    }
    return new BalancerEvent.PartArrived(id, number, (int) shard, size, hint);
  }

  private static BalancerEvent decodePeerMessage(ByteBuffer fields) {
    int sender = unsignedShort(fields);
    byte[] content = new byte[unsignedShort(fields)];
    fields.get(content);
    return new BalancerEvent.PeerMessageReceived(sender, content);
  }

  private static String decodeSettings(ByteBuffer fields) throws MalformedFrameException {
    int length = fields.getInt();
    if (length < 0 || length > fields.remaining()) {
      throw new MalformedFrameException("the settings text extends beyond the end of its record");
    }
    byte[] bytes = new byte[length];
    fields.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Decodes the load report; returns an empty array if the record ends before the report. */
  private static float[] decodeLoadReport(ByteBuffer fields) {
    float[] values = new float[fields.hasRemaining() ? unsignedByte(fields) : 0];
    for (int i = 0; i < values.length; i++) {
      values[i] = fields.getFloat();
    }
    return values;
  }

  private static AttemptOutcome outcomeOf(int code) {
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

  private static int unsignedByte(ByteBuffer buffer) {
    return buffer.get() & 0xFF;
  }

  private static int unsignedShort(ByteBuffer buffer) {
    return buffer.getShort() & 0xFFFF;
  }

  private static long unsignedInt(ByteBuffer buffer) {
    return buffer.getInt() & 0xFFFF_FFFFL;
  }
}

package dunlinhitch.simulator;

import dunlinhitch.balancer.BalancerActions;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes the balancer's actions into one reply frame in the order of the calls. Each action
 * belongs to the instance selected last.
 *
 * <p>Not thread-safe; the {@link SimulatorAdapter} owns it.
 */
final class ReplyEncoder implements BalancerActions {
  private static final int FRAME_HEADER_BYTES = 12;
  private static final int FRAME_LENGTH_OFFSET = 0;
  private static final int RECORD_COUNT_OFFSET = 4;
  private static final int SEQUENCE_OFFSET = 8;

  /** Size of the code, length and instance number of a record. */
  private static final int RECORD_HEADER_BYTES = 9;

  private static final int INITIAL_CAPACITY = 1 << 16;
  private static final int MAX_TEXT_BYTES = 0xFFFF;
  private static final long MAX_UNSIGNED_INT = 0xFFFF_FFFFL;

  private ByteBuffer buffer = allocate(INITIAL_CAPACITY);
  private int records;
  private int instance;
  private long nowUs;

  ReplyEncoder() {
    buffer.position(FRAME_HEADER_BYTES);
  }

  private static ByteBuffer allocate(int capacity) {
    return ByteBuffer.allocate(capacity).order(ByteOrder.LITTLE_ENDIAN);
  }

  /**
   * Selects the instance to which the following actions belong.
   *
   * @param number the instance
   * @param clockUs its current time in microseconds, relative to which due times are encoded
   */
  void selectInstance(int number, long clockUs) {
    instance = number;
    nowUs = clockUs;
  }

  /** Returns the finished frame and begins the next one. */
  byte[] finish(int sequence) {
    buffer.putInt(FRAME_LENGTH_OFFSET, buffer.position());
    buffer.putInt(RECORD_COUNT_OFFSET, records);
    buffer.putInt(SEQUENCE_OFFSET, sequence);
    byte[] frame = new byte[buffer.position()];
    buffer.get(0, frame);
    buffer.position(FRAME_HEADER_BYTES);
    records = 0;
    return frame;
  }

  private void beginRecord(int code, int fieldBytes) {
    ensureCapacity(buffer.position() + RECORD_HEADER_BYTES + fieldBytes);
    buffer.put((byte) code).putInt(Integer.BYTES + fieldBytes).putInt(instance);
    records++;
  }

  private void ensureCapacity(int needed) {
    if (needed <= buffer.capacity()) {
      return;
    }
    ByteBuffer larger = allocate(Math.max(needed, buffer.capacity() * 2));
    buffer.flip();
    larger.put(buffer);
    buffer = larger;
  }

  /** Clamps a value to the range of an unsigned 32-bit field. */
  private static int unsignedInt(long value) {
    return (int) Math.max(0, Math.min(value, MAX_UNSIGNED_INT));
  }

  @Override
  public void send(int part, int server, long dueUs) {
    beginRecord(RecordCode.SEND, 12);
    buffer.putInt(part).putInt(server).putInt(unsignedInt(dueUs - nowUs));
  }

  @Override
  public void answer(int query, boolean complete) {
    beginRecord(RecordCode.ANSWER, 5);
    buffer.putInt(query).put((byte) (complete ? 1 : 0));
  }

  @Override
  public void reject(int query, long retryAfterUs) {
    beginRecord(RecordCode.REJECT, 8);
    buffer.putInt(query).putInt(unsignedInt(retryAfterUs));
  }

  @Override
  public void fail(int query) {
    beginRecord(RecordCode.FAIL, 4);
    buffer.putInt(query);
  }

  @Override
  public void cancel(int part, int attempt) {
    beginRecord(RecordCode.CANCEL, 6);
    buffer.putInt(part).putShort((short) attempt);
  }

  @Override
  public void closeIdleConnections(int server) {
    beginRecord(RecordCode.CLOSE_IDLE_CONNECTIONS, 4);
    buffer.putInt(server);
  }

  @Override
  public void sendHealthCheck(int server) {
    beginRecord(RecordCode.SEND_HEALTH_CHECK, 4);
    buffer.putInt(server);
  }

  @Override
  public void scheduleTimer(long token, long dueUs) {
    beginRecord(RecordCode.SCHEDULE_TIMER, 12);
    buffer.putLong(token).putInt(unsignedInt(Math.max(1, dueUs - nowUs)));
  }

  @Override
  public void subscribeToServerList() {
    beginRecord(RecordCode.SUBSCRIBE_TO_SERVER_LIST, 1);
    buffer.put((byte) 1);
  }

  @Override
  public void log(String text) {
    encodeText(RecordCode.LOG, text);
  }

  /** Reports a fault of the selected instance. */
  void panic(String text) {
    encodeText(RecordCode.PANIC, text);
  }

  private void encodeText(int code, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(bytes.length, MAX_TEXT_BYTES);
    beginRecord(code, Short.BYTES + length);
    buffer.putShort((short) length).put(bytes, 0, length);
  }
}

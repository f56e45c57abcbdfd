package dunlinhitch.simulator;

import dunlinhitch.balancer.BalancerActions;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes the actions of one reply, in the order they are called, for the instance set last. */
final class ReplyWriter implements BalancerActions {
  private static final int HEADER = 12;
  private ByteBuffer out = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
  private int records;
  private int instance;
  private long nowUs;

  ReplyWriter() {
    out.position(HEADER);
  }

  /** The instance that the next actions are for, and its clock: here due times become spans. */
  void instance(int number, long clockUs) {
    instance = number;
    nowUs = clockUs;
  }

  /** Returns the finished frame and starts the next. */
  byte[] finish(int sequence) {
    out.putInt(0, out.position()).putInt(4, records).putInt(8, sequence);
    byte[] frame = Arrays.copyOf(out.array(), out.position());
    out.position(HEADER);
    records = 0;
    return frame;
  }

  private void begin(int code, int fieldBytes) {
    int needed = out.position() + fieldBytes + 9;
    if (needed > out.capacity()) {
      ByteBuffer larger =
          ByteBuffer.allocate(Math.max(needed, out.capacity() * 2)).order(ByteOrder.LITTLE_ENDIAN);
      out.flip();
      larger.put(out);
      out = larger;
    }
    out.put((byte) code).putInt(fieldBytes + 4).putInt(instance);
    records++;
  }

  private static int u32(long value) {
    return (int) Math.max(0, Math.min(value, 0xFFFF_FFFFL));
  }

  @Override
  public void send(int part, int server, long dueUs) {
    begin(80, 12);
    out.putInt(part).putInt(server).putInt(u32(dueUs - nowUs));
  }

  @Override
  public void answer(int query, boolean whole) {
    begin(92, 5);
    out.putInt(query).put((byte) (whole ? 1 : 0));
  }

  @Override
  public void reject(int query, long retryAfterUs) {
    begin(81, 8);
    out.putInt(query).putInt(u32(retryAfterUs));
  }

  @Override
  public void fail(int query) {
    begin(82, 4);
    out.putInt(query);
  }

  @Override
  public void cancel(int part, int attempt) {
    begin(83, 6);
    out.putInt(part).putShort((short) attempt);
  }

  @Override
  public void closeIdleConnections(int server) {
    begin(86, 4);
    out.putInt(server);
  }

  @Override
  public void sendHealthCheck(int server) {
    begin(85, 4);
    out.putInt(server);
  }

  @Override
  public void scheduleTimer(long token, long dueUs) {
    begin(84, 12);
    out.putLong(token).putInt(u32(Math.max(1, dueUs - nowUs)));
  }

  @Override
  public void subscribeToServerList() {
    begin(90, 1);
    out.put((byte) 1);
  }

  @Override
  public void log(String text) {
    text(88, text);
  }

  void panic(String text) {
    text(89, text);
  }

  private void text(int code, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(bytes.length, 0xFFFF);
    begin(code, 2 + length);
    out.putShort((short) length).put(bytes, 0, length);
  }
}

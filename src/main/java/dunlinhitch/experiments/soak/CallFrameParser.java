package dunlinhitch.experiments.soak;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * Parses the frames that a broker writes to one connection of a store and reports each part of a
 * call with its id and timeout. Not thread-safe; used on the event loop.
 */
final class CallFrameParser {
  private static final int LENGTH_BYTES = 4;
  private static final char CALL = 'm';

  private final BiConsumer<String, Long> onPart;
  private Buffer pending = Buffer.buffer();

  /**
   * Creates a parser for a new connection.
   *
   * @param onPart receives the id of each part and its timeout in milliseconds
   */
  CallFrameParser(BiConsumer<String, Long> onPart) {
    this.onPart = onPart;
  }

  void read(Buffer bytes) {
    pending.appendBuffer(bytes);
    while (pending.length() >= LENGTH_BYTES) {
      int end = LENGTH_BYTES + (int) pending.getUnsignedIntLE(0);
      if (pending.length() < end) {
        return;
      }
      if (pending.getByte(LENGTH_BYTES) == CALL) {
        readCall(pending.getBytes(LENGTH_BYTES + 1, end));
      }
      pending = pending.getBuffer(end, pending.length());
    }
  }

  private void readCall(byte[] call) {
    int index = 0;
    while (index < call.length) {
      int lineEnd = index;
      while (call[lineEnd] != '\n') {
        lineEnd++;
      }
      String[] fields =
          new String(call, index, lineEnd - index, StandardCharsets.UTF_8).split(" ", -1);
      String timeout = fields[2].split(",", -1)[0].substring("d=".length());
      onPart.accept(fields[0], Long.parseLong(timeout));
      index = lineEnd + 1 + Integer.parseInt(fields[3]);
    }
  }
}

package dunlinhitch.simulator;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.LoadBalancer;
import dunlinhitch.config.SettingsReader;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.HashMap;
import java.util.Map;

/**
 * Hosts the load balancers of one simulated process: reads batch frames from standard input and
 * writes one reply frame for each to standard output.
 *
 * <p>Single-threaded: all work is done on the thread that calls {@link #serve}.
 */
public final class SimulatorAdapter implements BatchDecoder.Handler {
  private static final int FRAME_HEADER_BYTES = 20;
  private static final int OUTPUT_BUFFER_BYTES = 1 << 16;
  private static final int EXIT_OK = 0;
  private static final int EXIT_MALFORMED_INPUT = 1;

  private final Map<Integer, LoadBalancer> balancers = new HashMap<>();
  private final BatchDecoder decoder = new BatchDecoder();
  private final ReplyEncoder encoder = new ReplyEncoder();
  private long nowUs;

  /** Header of a batch frame. */
  private record FrameHeader(int records, int length, long clockUs, int sequence) {
    static FrameHeader decode(byte[] bytes) throws MalformedFrameException {
      ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
      FrameHeader header =
          new FrameHeader(buffer.getInt(), buffer.getInt(), buffer.getLong(), buffer.getInt());
      if (header.length < FRAME_HEADER_BYTES || header.records < 0) {
        throw new MalformedFrameException(
            "invalid frame header: " + header.length + " bytes and " + header.records + " records");
      }
      return header;
    }

    int bodyLength() {
      return length - FRAME_HEADER_BYTES;
    }
  }

  /**
   * Processes standard input until its end.
   *
   * @return the exit code: 0 at the end of the input, 1 after a malformed frame or an I/O error
   */
  public static int serve() {
    try {
      new SimulatorAdapter()
          .run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
      return EXIT_OK;
    } catch (IOException e) {
      System.err.println("dunlinhitch: " + e.getMessage());
      return EXIT_MALFORMED_INPUT;
    }
  }

  /** Answers each batch until the input ends. */
  void run(InputStream from, OutputStream to) throws IOException {
    DataInputStream input = new DataInputStream(from);
    OutputStream output = new BufferedOutputStream(to, OUTPUT_BUFFER_BYTES);
    byte[] headerBytes = new byte[FRAME_HEADER_BYTES];
    while (true) {
      int headerLength = input.readNBytes(headerBytes, 0, FRAME_HEADER_BYTES);
      if (headerLength == 0) {
        return;
      }
      if (headerLength < FRAME_HEADER_BYTES) {
        throw new MalformedFrameException("unexpected end of input within a frame header");
      }
      FrameHeader header = FrameHeader.decode(headerBytes);
      byte[] body = input.readNBytes(header.bodyLength());
      if (body.length < header.bodyLength()) {
        throw new MalformedFrameException("unexpected end of input within a frame body");
      }
      nowUs = header.clockUs();
      decoder.decode(body, header.records(), nowUs, this);
      output.write(encoder.finish(header.sequence()));
      output.flush();
    }
  }

  /**
   * Creates the instance's balancer and starts it; invalid settings are reported as a fault of the
   * instance.
   */
  @Override
  public void onInstanceStarted(int instance, long seed, String settings) {
    encoder.selectInstance(instance, nowUs);
    try {
      LoadBalancer balancer = new LoadBalancer(SettingsReader.read(settings), seed, encoder);
      balancers.put(instance, balancer);
      balancer.on(nowUs, new BalancerEvent.Started());
    } catch (RuntimeException e) {
      // reported as a fault of this instance; the other instances continue
      reportFault(e);
    }
  }

  /** Discards the instance's balancer. */
  @Override
  public void onInstanceStopped(int instance) {
    balancers.remove(instance);
  }

  /** Passes the event to the instance's balancer; an event for an unknown instance is ignored. */
  @Override
  public void onEvent(int instance, BalancerEvent event) {
    LoadBalancer balancer = balancers.get(instance);
    if (balancer == null) {
      return;
    }
    encoder.selectInstance(instance, nowUs);
    try {
      balancer.on(nowUs, event);
    } catch (RuntimeException e) {
      // reported as a fault of this instance; the other instances continue
      reportFault(e);
    }
  }

  private void reportFault(RuntimeException fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    encoder.panic(fault + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}

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
 * Hosts the aggregators of one process on the simulator's wire: batches on standard input, replies
 * out.
 */
public final class SimulatorAdapter implements BatchReader.Sink {
  private static final int HEADER = 20;
  private final Map<Integer, LoadBalancer> brokers = new HashMap<>();
  private final BatchReader reader = new BatchReader();
  private final ReplyWriter writer = new ReplyWriter();
  private long clock;

  /** Runs until the end of input (exit code 0) or the first malformed frame (1). */
  public static int serve() {
    try {
      new SimulatorAdapter()
          .run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
      return 0;
    } catch (IOException e) {
      System.err.println("dunlinhitch: " + e.getMessage());
      return 1;
    }
  }

  /** Answers each batch until the input ends. */
  void run(InputStream from, OutputStream to) throws IOException {
    DataInputStream in = new DataInputStream(from);
    OutputStream out = new BufferedOutputStream(to, 1 << 16);
    byte[] header = new byte[HEADER];
    while (true) {
      int got = in.readNBytes(header, 0, HEADER);
      if (got == 0) {
        return;
      }
      if (got < HEADER) {
        throw new FormatException("the input ends within a header");
      }
      ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
      int records = head.getInt();
      int length = head.getInt();
      clock = head.getLong();
      int sequence = head.getInt();
      if (length < HEADER || records < 0) {
        throw new FormatException("a frame of " + length + " bytes and " + records + " records");
      }
      byte[] body = in.readNBytes(length - HEADER);
      if (body.length < length - HEADER) {
        throw new FormatException("the input ends within a frame");
      }
      reader.read(body, records, clock, this);
      out.write(writer.finish(sequence));
      out.flush();
    }
  }

  @Override
  public void up(int instance, long seed, String settings) {
    writer.instance(instance, clock);
    try {
      LoadBalancer policy = new LoadBalancer(SettingsReader.read(settings), seed, writer);
      brokers.put(instance, policy);
      policy.on(clock, new BalancerEvent.Started());
    } catch (RuntimeException e) {
      report(e);
    }
  }

  @Override
  public void stop(int instance) {
    brokers.remove(instance);
  }

  @Override
  public void event(int instance, BalancerEvent event) {
    LoadBalancer policy = brokers.get(instance);
    if (policy == null) {
      return;
    }
    writer.instance(instance, clock);
    try {
      policy.on(clock, event);
    } catch (RuntimeException e) {
      report(e);
    }
  }

  private void report(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    writer.panic(e + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}

package dunlinhitch.experiments.flood;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Connections that write in small steps. A connection that the broker has closed is replaced at
 * once. Connections are opened also while nobody listens.
 */
public final class Crowd implements AutoCloseable {
  private static final int READ_BYTES = 16 * 1024;
  private static final int ROUND_PAUSE_MS = 2;
  private static final long NS_PER_MS = 1_000_000;

  private static final class Member {
    private SocketChannel channel;
    private ClientScript script;
    private ByteBuffer rest;
    private long nextWriteNs;
  }

  private final int port;
  private final Supplier<ClientScript> scripts;
  private final int minPauseMs;
  private final int maxPauseMs;
  private final SplittableRandom random;
  private final List<Member> members = new ArrayList<>();
  private final ByteBuffer answers = ByteBuffer.allocate(READ_BYTES);
  private final Thread thread = new Thread(this::run, "crowd");
  private final AtomicLong connections = new AtomicLong();
  private volatile boolean closed;

  /** Creates a crowd that does not run yet and writes without a pause. */
  public Crowd(int port, int size, Supplier<ClientScript> scripts) {
    this(port, size, scripts, 0, 0, 0);
  }

  /**
   * Creates a crowd that does not run yet.
   *
   * @param scripts returns what the next connection sends
   * @param minPauseMs minimum time between two writes of one connection
   * @param maxPauseMs maximum time between two writes of one connection
   */
  public Crowd(
      int port,
      int size,
      Supplier<ClientScript> scripts,
      int minPauseMs,
      int maxPauseMs,
      long seed) {
    this.port = port;
    this.scripts = scripts;
    this.minPauseMs = minPauseMs;
    this.maxPauseMs = maxPauseMs;
    random = new SplittableRandom(seed);
    for (int i = 0; i < size; i++) {
      members.add(new Member());
    }
    thread.setDaemon(true);
  }

  /** Opens the connections. */
  public void start() {
    thread.start();
  }

  /** Returns the number of connections that the broker has accepted or queued so far. */
  public long connections() {
    return connections.get();
  }

  private void run() {
    while (!closed) {
      members.forEach(this::advance);
      pause();
    }
    members.forEach(Crowd::drop);
  }

  private static void pause() {
    try {
      Thread.sleep(ROUND_PAUSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void advance(Member member) {
    try {
      if (member.channel == null) {
        open(member);
      }
      if (!member.channel.isConnected()) {
        if (!member.channel.finishConnect()) {
          return;
        }
        connections.incrementAndGet();
      }
      write(member);
      if (member.script.readsAnswers() && member.channel.read(answers.clear()) < 0) {
        drop(member);
      }
    } catch (IOException e) {
      drop(member);
    }
  }

  private void open(Member member) throws IOException {
    member.script = scripts.get();
    member.rest = ByteBuffer.wrap(member.script.opening());
    member.nextWriteNs = 0;
    member.channel = SocketChannel.open();
    member.channel.configureBlocking(false);
    member.channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  private void write(Member member) throws IOException {
    long nowNs = System.nanoTime();
    if (nowNs < member.nextWriteNs) {
      return;
    }
    if (!member.rest.hasRemaining()) {
      member.rest = ByteBuffer.wrap(member.script.repeated());
    }
    if (!member.rest.hasRemaining()) {
      return;
    }
    int bytes = Math.min(member.rest.remaining(), member.script.bytesPerWrite());
    int written = member.channel.write(member.rest.slice(member.rest.position(), bytes));
    member.rest.position(member.rest.position() + written);
    member.nextWriteNs = nowNs + random.nextInt(minPauseMs, maxPauseMs + 1) * NS_PER_MS;
  }

  private static void drop(Member member) {
    try {
      if (member.channel != null) {
        member.channel.close();
      }
    } catch (IOException e) {
      // the connection is gone either way
    }
    member.channel = null;
  }

  @Override
  public void close() {
    closed = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

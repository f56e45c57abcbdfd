import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in calendar store that speaks the frames of the protocol page. It answers each part after
 * a fixed time and keeps a list of what it was sent and what it answered.
 */
final class Store implements AutoCloseable {
  /** One part that arrived: when its frame was complete, and what the frame said. */
  record Part(long atMs, String id, int shard, String list, String text, String value) {}

  /** How an answer is written: receives the correct frame, writes what the store sends instead. */
  interface Writer {
    void write(Connection connection, Part part, byte[] frame) throws IOException;
  }

  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "store-timer");
            thread.setDaemon(true);
            return thread;
          });

  final String name;
  final List<Part> parts = new CopyOnWriteArrayList<>();
  /** The value that this store made for a part, by the id of the part. */
  final Map<String, String> values = new ConcurrentHashMap<>();
  volatile long workMs = 30;
  volatile Writer writer = (connection, part, frame) -> connection.send(frame);
  private final ServerSocket server;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

  Store(String name) throws IOException {
    this.name = name;
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept, "store-" + name);
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Connection connection = new Connection(server.accept());
        connections.add(connection);
        Thread thread = new Thread(connection, "store-connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  static byte[] frame(char letter, byte[] rest) {
    byte[] frame = new byte[5 + rest.length];
    setLength(frame, 1 + rest.length);
    frame[4] = (byte) letter;
    System.arraycopy(rest, 0, frame, 5, rest.length);
    return frame;
  }

  static void setLength(byte[] frame, int length) {
    for (int i = 0; i < 4; i++) {
      frame[i] = (byte) (length >>> (8 * i));
    }
  }

  final class Connection implements Runnable {
    private final Socket socket;
    private final OutputStream out;
    private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
    /** True once a spoilt answer was sent: the connection stays open and carries nothing more. */
    volatile boolean spoilt;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      out = socket.getOutputStream();
    }

    synchronized void send(byte[] bytes) throws IOException {
      if (!spoilt) {
        out.write(bytes);
        out.flush();
      }
    }

    @Override
    public void run() {
      try (InputStream raw = socket.getInputStream()) {
        DataInputStream in = new DataInputStream(raw);
        while (true) {
          int length = Integer.reverseBytes(in.readInt());
          char letter = (char) in.readUnsignedByte();
          byte[] rest = in.readNBytes(length - 1);
          switch (letter) {
            case 'm' -> onCall(rest);
            case 'n' -> cancelled.add(new String(rest, StandardCharsets.UTF_8));
            case 'o' -> send(frame('o', "good".getBytes(StandardCharsets.UTF_8)));
            case 'p' -> send(frame('p', "latency_ms=30,queue=0".getBytes(StandardCharsets.UTF_8)));
            default -> throw new IOException("letter " + letter);
          }
        }
      } catch (IOException e) {
        // the broker has closed the connection
      } finally {
        connections.remove(this);
        try {
          socket.close();
        } catch (IOException e) {
          // closed already
        }
      }
    }

    private void onCall(byte[] rest) throws IOException {
      long nowMs = System.currentTimeMillis();
      int at = 0;
      while (at < rest.length) {
        int end = at;
        while (rest[end] != '\n') {
          end++;
        }
        String[] line = new String(rest, at, end - at, StandardCharsets.UTF_8).split(" ");
        int length = Integer.parseInt(line[3]);
        String text = new String(rest, end + 1, length, StandardCharsets.UTF_8);
        at = end + 1 + length;
        String value = String.format("%016x", (line[0] + name + parts.size()).hashCode() * 0x9E3779B97F4A7C15L);
        Part part = new Part(nowMs, line[0], Integer.parseInt(line[1]), line[2], text, value);
        parts.add(part);
        cancelled.remove(part.id());
        TIMER.schedule(() -> answer(part), workMs, TimeUnit.MILLISECONDS);
      }
    }

    private void answer(Part part) {
      if (cancelled.contains(part.id()) || socket.isClosed()) {
        return;
      }
      values.put(part.id(), part.value());
      String text = part.id() + " good 1 latency_ms=30,queue=0\n" + part.value();
      try {
        writer.write(this, part, frame('q', text.getBytes(StandardCharsets.UTF_8)));
      } catch (IOException e) {
        // the broker has closed the connection
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Connection connection : connections) {
      connection.socket.close();
    }
  }
}

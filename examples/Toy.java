import com.sun.net.httpserver.HttpServer;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * A discovery service and two calendar stores that answer every query at once, to try out a broker
 * with. Run it with {@code java Toy.java}.
 */
public final class Toy {
  private static final String LIST =
      "{\"generation\":1,\"reset\":true,\"instances\":["
          + entry("s-1", 7101, 0)
          + ","
          + entry("s-2", 7102, 1)
          + "]}\n";

  private static String entry(String name, int port, int cell) {
    return "{\"instanceId\":\""
        + name
        + "\",\"hostPort\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"hall\",\"cell\":"
        + cell
        + ",\"lifecycle\":\"ready\",\"weight\":1.0,\"startedAtMs\":0}";
  }

  public static void main(String[] arguments) throws IOException {
    HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", 8500), 0);
    discovery.setExecutor(Executors.newCachedThreadPool());
    discovery.createContext(
        "/registry/instances",
        exchange -> {
          exchange.sendResponseHeaders(200, 0);
          try (OutputStream out = exchange.getResponseBody()) {
            out.write(LIST.getBytes(StandardCharsets.UTF_8));
            out.flush();
            while (exchange.getRequestURI().getQuery() != null) {
              Thread.sleep(2_000);
              out.write('\n');
              out.flush();
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    discovery.start();
    store("s-1", 7101);
    store("s-2", 7102);
    System.out.println("discovery on 127.0.0.1:8500, stores on 7101 and 7102");
  }

  private static void store(String name, int port) throws IOException {
    ServerSocket listener = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
    new Thread(
            () -> {
              while (true) {
                try {
                  Socket socket = listener.accept();
                  new Thread(() -> serve(name, socket)).start();
                } catch (IOException e) {
                  System.err.println(name + ": " + e.getMessage());
                }
              }
            })
        .start();
  }

  private static void serve(String name, Socket socket) {
    try (socket;
        DataInputStream in = new DataInputStream(socket.getInputStream())) {
      OutputStream out = socket.getOutputStream();
      while (true) {
        byte[] body = new byte[Integer.reverseBytes(in.readInt())];
        in.readFully(body);
        if (body[0] == 'p') {
          out.write(frame("platency_ms=1,queue=0"));
        } else if (body[0] == 'm') {
          answer(name, body, out);
        }
      }
    } catch (IOException e) {
      // the broker closed the connection
    }
  }

  /**
   * Answers a query. For each part it has a line {@code ID SHARD LIST LENGTH}, followed by LENGTH
   * bytes of text.
   */
  private static void answer(String name, byte[] query, OutputStream out) throws IOException {
    int at = 1;
    while (at < query.length) {
      int end = at;
      while (query[end] != '\n') {
        end++;
      }
      String[] fields = new String(query, at, end - at, StandardCharsets.UTF_8).split(" ");
      at = end + 1 + Integer.parseInt(fields[3]);
      out.write(
          frame(
              "q"
                  + fields[0]
                  + " good 1 latency_ms=1,queue=0\nfree slots of block "
                  + fields[1]
                  + " by "
                  + name));
    }
  }

  private static byte[] frame(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(4 + bytes.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(bytes.length)
        .put(bytes)
        .array();
  }
}

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in discovery agent: the whole list, and watches that stay open. */
final class Agent implements AutoCloseable {
  private final ServerSocket server;
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final Map<String, Long> changedAt = new LinkedHashMap<>();
  private long generation = 1;

  Agent() throws IOException {
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "agent");
    thread.setDaemon(true);
    thread.start();
  }

  static String entry(String id, int port, String zone, int cell, String state) {
    return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
        + "\",\"machineType\":\"basic-2core\",\"cell\":" + cell + ",\"lifecycle\":\"" + state
        + "\",\"weight\":1.0,\"startedAtMs\":0}";
  }

  synchronized void put(String id, String entry) {
    entries.put(id, entry);
    changedAt.put(id, ++generation);
    notifyAll();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      String request = in.readLine();
      for (String line = request; line != null && !line.isEmpty(); line = in.readLine()) {
        // the head has nothing more of use
      }
      if (request == null) {
        return;
      }
      OutputStream out = socket.getOutputStream();
      if (!request.contains("follow=1")) {
        byte[] body;
        synchronized (this) {
          body = list(0, true).getBytes(StandardCharsets.UTF_8);
        }
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(body);
        return;
      }
      long since = Long.parseLong(request.replaceAll(".*since=(\\d+).*", "$1"));
      out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      boolean whole = since < 1;
      while (!server.isClosed()) {
        String line;
        synchronized (this) {
          if (!whole && generation <= since) {
            wait(2000);
          }
          line = whole || generation > since ? list(since, whole) : "";
          since = generation;
        }
        whole = false;
        chunk(out, line + "\n");
      }
    } catch (IOException | InterruptedException e) {
      // the broker has closed the watch
    }
  }

  private String list(long since, boolean whole) {
    List<String> chosen = new ArrayList<>();
    entries.forEach(
        (id, entry) -> {
          if (whole ? !entry.contains("\"gone\"") : changedAt.get(id) > since) {
            chosen.add(entry);
          }
        });
    return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":["
        + String.join(",", chosen) + "]}";
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
    out.write(bytes);
    out.write("\r\n".getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}

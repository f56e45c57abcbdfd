package dunlinhitch.experiments.fakes;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.WriterConfig;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Discovery: each watch gets the list as it stands, and what is told after. */
public final class Discovery implements AutoCloseable {
  /** What watches asked for, in order. */
  public final BlockingQueue<String> asked = new LinkedBlockingQueue<>();

  public final List<HttpServerResponse> watches = new CopyOnWriteArrayList<>();

  /** Lists come over several lines each. */
  public volatile boolean indented;

  private final HttpServer server;
  private volatile String first = "";
  private int generation;

  public Discovery(Vertx vertx) throws Exception {
    this(vertx, 0);
  }

  /** At a port that is known before. */
  public Discovery(Vertx vertx, int port) throws Exception {
    server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  HttpServerResponse response = request.response().setChunked(true);
                  if (request.uri().contains("follow=1")) {
                    watches.add(response);
                    response.write(first + "\n");
                  } else {
                    response.end(first);
                  }
                  asked.add(request.uri());
                })
            .listen(port, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(5, TimeUnit.SECONDS);
  }

  public int port() {
    return server.actualPort();
  }

  /** An entry in discovery's form. */
  public static String entry(
      String name, int port, String zone, int cell, String lifecycle, String protocol) {
    return "{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"cell\":%d,\"lifecycle\":\"%s\","
            .formatted(name, port, zone, cell, lifecycle)
        + "\"startedAtMs\":0,\"protocol\":\""
        + protocol
        + "\"}";
  }

  public static String entry(Store store, String zone, int cell, String lifecycle) {
    String entry = entry(store.name, store.port(), zone, cell, lifecycle, store.protocol());
    return store.first == null ? entry : entry.substring(0, entry.length() - 1) + ",\"phases\":2}";
  }

  /** The list that a new watch begins with. */
  public void list(String... entries) {
    first = line(true, entries);
  }

  /** A change, told to all that watch. */
  public void change(String... entries) {
    String line = line(false, entries);
    watches.forEach(watch -> watch.write(line + "\n"));
  }

  /** The same, and who begins a watch from now on is told the whole list of that generation. */
  public void change(List<String> whole, String... entries) {
    change(entries);
    generation--;
    list(whole.toArray(String[]::new));
  }

  private String line(boolean reset, String... entries) {
    String line =
        "{\"generation\":"
            + ++generation
            + ",\"reset\":"
            + reset
            + ",\"instances\":["
            + String.join(",", entries)
            + "]}";
    return indented ? Json.parse(line).toString(WriterConfig.PRETTY_PRINT) : line;
  }

  @Override
  public void close() {
    server.close();
  }
}

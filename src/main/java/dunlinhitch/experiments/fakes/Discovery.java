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

/** A fake discovery service over HTTP. A watch receives the full list and then each change. */
public final class Discovery implements AutoCloseable {
  /** URIs of the requests in order of arrival. */
  public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

  /** Responses of the watches in order. */
  public final List<HttpServerResponse> watches = new CopyOnWriteArrayList<>();

  /** Whether lists are sent pretty-printed over several lines. */
  public volatile boolean indented;

  private final HttpServer server;
  private volatile String fullList = "";
  private int generation;

  /** Listens on a free loopback port. */
  public Discovery(Vertx vertx) throws Exception {
    this(vertx, 0);
  }

  /** Listens on a loopback port; 0 chooses a free one. */
  public Discovery(Vertx vertx, int port) throws Exception {
    server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  HttpServerResponse response = request.response().setChunked(true);
                  if (request.uri().contains("follow=1")) {
                    watches.add(response);
                    response.write(fullList + "\n");
                  } else {
                    response.end(fullList);
                  }
                  requests.add(request.uri());
                })
            .listen(port, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(5, TimeUnit.SECONDS);
  }

  /** Returns the loopback port on which the service listens. */
  public int port() {
    return server.actualPort();
  }

  /** Formats an endpoint for {@link #setList} and {@link #pushChange}. */
  public static String entry(
      String name, int port, String zone, int cell, String lifecycle, String protocol) {
    return "{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"cell\":%d,\"lifecycle\":\"%s\","
            .formatted(name, port, zone, cell, lifecycle)
        + "\"startedAtMs\":0,\"protocol\":\""
        + protocol
        + "\"}";
  }

  /**
   * Formats the entry of a fake store. The entry announces two passes if the store has first-pass
   * answers.
   */
  public static String entry(Store store, String zone, int cell, String lifecycle) {
    String entry = entry(store.name, store.port(), zone, cell, lifecycle, store.protocol());
    return store.firstAnswer == null
        ? entry
        : entry.substring(0, entry.length() - 1) + ",\"phases\":2}";
  }

  /** Sets the full list that is sent to later watches and requests. */
  public void setList(String... entries) {
    fullList = line(true, entries);
  }

  /** Sends a change to all watches. */
  public void pushChange(String... entries) {
    String line = line(false, entries);
    watches.forEach(watch -> watch.write(line + "\n"));
  }

  /**
   * Sends a change to all watches. Also sets the full list, with the same generation as the change.
   */
  public void pushChange(List<String> allEntries, String... entries) {
    pushChange(entries);
    generation--;
    setList(allEntries.toArray(String[]::new));
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

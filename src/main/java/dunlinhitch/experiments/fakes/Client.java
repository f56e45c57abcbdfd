package dunlinhitch.experiments.fakes;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.flight.CallOptions;
import org.apache.arrow.flight.FlightCallHeaders;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.HeaderCallOption;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.memory.RootAllocator;

/**
 * A test client of a broker over HTTP or Arrow Flight. Responses of both protocols are represented
 * by {@link Response}.
 */
public interface Client {
  /**
   * A response.
   *
   * @param outcome {@code whole}, {@code partial}, {@code refused}, {@code failed}, {@code late} or
   *     {@code bad}
   * @param parts the values by shard
   * @param retryAfter the value of the broker's Retry-After advice, or empty
   */
  record Response(String outcome, Map<Integer, String> parts, String retryAfter) {}

  /** Sends a query; cancelling the future cancels the request. */
  CompletableFuture<Response> send(String queryClass, Map<String, String> headers, byte[] body);

  /** Sends a query whose body is encoded in UTF-8; cancelling the future cancels the request. */
  default CompletableFuture<Response> send(
      String queryClass, Map<String, String> headers, String body) {
    return send(queryClass, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Closes the connections. */
  void close() throws Exception;

  /** Returns the body of a query for these shards, with equal weights. */
  static String body(int... shards) {
    StringBuilder ranges = new StringBuilder();
    for (int shard : shards) {
      ranges
          .append(ranges.isEmpty() ? "" : ",")
          .append("{\"range\":")
          .append(shard)
          .append(",\"portion\":")
          .append(1.0 / shards.length)
          .append('}');
    }
    return "{\"ranges\":[" + ranges + "],\"predicate\":\"tenors é\"}";
  }

  /** A client over HTTP/1.1 to a loopback port. */
  static Client http(int port) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    return new Client() {
      @Override
      public CompletableFuture<Response> send(
          String queryClass, Map<String, String> headers, byte[] body) {
        HttpRequest.Builder request =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/" + queryClass))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body));
        headers.forEach(request::header);
        CompletableFuture<HttpResponse<String>> sent =
            client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
        CompletableFuture<Response> response = sent.thenApply(Client::toResponse);
        var unused =
            response.whenComplete(
                (result, failure) -> {
                  if (response.isCancelled()) {
                    sent.cancel(true);
                  }
                });
        return response;
      }

      @Override
      public void close() {
        // the JDK client closes its connections when it is garbage-collected
      }
    };
  }

  private static Response toResponse(HttpResponse<String> response) {
    Map<Integer, String> parts = new TreeMap<>();
    String end =
        switch (response.statusCode()) {
          case 429, 503 -> "refused";
          case 504 -> "late";
          case 200 -> "";
          default -> response.statusCode() < 500 ? "bad" : "failed";
        };
    if (end.isEmpty()) {
      JsonObject root = Json.parse(response.body()).asObject();
      root.get("answers")
          .asArray()
          .forEach(
              p -> parts.put(p.asObject().getInt("range", -1), p.asObject().getString("blob", "")));
      end = root.getBoolean("total", false) ? "whole" : "partial";
    }
    return new Response(end, parts, response.headers().firstValue("retry-after").orElse(""));
  }

  /** A client over Arrow Flight to a loopback port. */
  static Client flight(int port) {
    RootAllocator allocator = new RootAllocator(8 << 20);
    FlightClient client =
        FlightClient.builder(allocator, Location.forGrpcInsecure("127.0.0.1", port)).build();
    return new Client() {
      @Override
      public CompletableFuture<Response> send(
          String queryClass, Map<String, String> headers, byte[] body) {
        FlightCallHeaders sent = new FlightCallHeaders();
        headers.forEach(sent::insert);
        sent.insert("X-Qos", queryClass);
        FlightStream stream =
            client.getStream(
                new Ticket(body),
                new HeaderCallOption(sent),
                CallOptions.timeout(10, TimeUnit.SECONDS));
        CompletableFuture<Response> response =
            CompletableFuture.supplyAsync(() -> toResponse(stream));
        var unused =
            response.whenComplete(
                (result, failure) -> {
                  if (response.isCancelled()) {
                    stream.cancel("left", null);
                  }
                });
        return response;
      }

      @Override
      public void close() throws Exception {
        client.close();
      }
    };
  }

  private static Response toResponse(FlightStream stream) {
    Map<Integer, String> parts = new TreeMap<>();
    try {
      while (stream.next()) {
        for (int i = 0; i < stream.getRoot().getRowCount(); i++) {
          parts.put(
              (Integer) stream.getRoot().getVector("range").getObject(i),
              stream.getRoot().getVector("blob").getObject(i).toString());
        }
      }
      String total = stream.getSchema().getCustomMetadata().get("total");
      stream.close();
      return new Response(total.equals("true") ? "whole" : "partial", parts, "");
    } catch (FlightRuntimeException e) {
      boolean advised =
          e.status().metadata() != null && e.status().metadata().containsKey("retry-after");
      return new Response(
          switch (e.status().code()) {
            case UNAVAILABLE -> "refused";
            case INTERNAL -> "failed";
            case TIMED_OUT -> "late";
            case INVALID_ARGUMENT -> "bad";
            default -> e.status().code().name();
          },
          parts,
          advised ? e.status().metadata().get("retry-after") : "");
    } catch (Exception e) {
      throw new IllegalStateException(new IOException(e));
    }
  }
}

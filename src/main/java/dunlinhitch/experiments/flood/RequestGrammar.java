package dunlinhitch.experiments.flood;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;

/** Draws the text of requests. Not thread-safe. */
public final class RequestGrammar {
  /** Number of fields of a head that is full of short fields; the head stays below 8 KiB. */
  private static final int MANY_FIELDS = 700;

  private static final int LARGE_BODY_BYTES = 60 * 1024;

  private static final int QUERY_TIME_MS = 300;
  private static final double MS_PER_SECOND = 1e3;

  private final SplittableRandom random;
  private final String idPrefix;
  private final String queryClass;
  private final int shards;
  private int drawn;

  /**
   * Creates a grammar.
   *
   * @param idPrefix start of the ids of all queries
   * @param queryClass the class of the valid queries
   * @param shards number of shards of the deployment
   */
  public RequestGrammar(long seed, String idPrefix, String queryClass, int shards) {
    this.queryClass = queryClass;
    random = new SplittableRandom(seed);
    this.idPrefix = idPrefix;
    this.shards = shards;
  }

  /** Returns the next request of a flood. */
  byte[] next(Trouble trouble) {
    String text =
        switch (trouble) {
          case FLOOD_WITHOUT_ID -> post("/" + queryClass, "", "{}");
          case FLOOD_OF_PAGES -> "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
          case FLOOD_OF_ADMIN_PAGES -> "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
          case FLOOD_OF_CLASSES -> post("/class-" + id(), "", "{}");
          case FLOOD_MIXED -> mixed();
          default -> query();
        };
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns what a connection of a crowd sends: an incomplete request. */
  public ClientScript incomplete(Trouble trouble) {
    String fields = fields(MANY_FIELDS, 1);
    String head = "POST /" + queryClass + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id() + "\r\n";
    String length = "Content-Length: " + LARGE_BODY_BYTES + "\r\n";
    String text =
        switch (trouble) {
          case CROWD_MANY_FIELDS -> head + fields;
          case CROWD_FIELDS_AND_BODY ->
              head + length + fields + "\r\n" + " ".repeat(LARGE_BODY_BYTES * 9 / 10);
          case CROWD_IN_BODY -> head + length + "\r\n" + " ".repeat(LARGE_BODY_BYTES / 2);
          default -> head;
        };
    return ClientScript.atOnce(text);
  }

  private String mixed() {
    return switch (random.nextInt(12)) {
      case 0, 1, 2 -> query();
      case 3 ->
          "GET /" + word() + " HTTP/1.1\r\nHost: x\r\n" + fields(random.nextInt(20), 1) + "\r\n";
      case 4 -> "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n";
      case 5 -> post("/slot-booking", "X-Trace-Id: " + id() + "\r\n", "{\"ranges\":[]}");
      case 6 -> post("/" + queryClass, "X-Trace-Id: " + id() + "\r\nX-Expires-In: soon\r\n", "{}");
      case 7 -> post("/" + queryClass, "X-Trace-Id: " + word() + "\r\n", "[".repeat(900));
      case 8 ->
          "POST /"
              + queryClass
              + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nX-Trace-Id: "
              + id()
              + "\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
      case 9 -> "PUT /" + queryClass + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
      case 10 -> "HEAD /health/live HTTP/1.1\r\nHost: x\r\n\r\n";
      default -> post("/" + word(), "X-Customer: " + word() + "\r\n", body());
    };
  }

  private String query() {
    return query(QUERY_TIME_MS);
  }

  /** Returns a valid query with this time to live. */
  String query(int timeMs) {
    String seconds = String.format(Locale.ROOT, "%.3f", timeMs / MS_PER_SECOND);
    String headers = "X-Trace-Id: " + id() + "\r\nX-Expires-In: " + seconds + "\r\n";
    return post("/" + queryClass, headers, body());
  }

  private String body() {
    int first = random.nextInt(shards);
    int second = (first + 1) % shards;
    return "{\"ranges\":[{\"range\":"
        + first
        + ",\"portion\":0.5},{\"range\":"
        + second
        + ",\"portion\":0.5}],\"predicate\":\"altos\"}";
  }

  private static String post(String path, String headers, String body) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: x\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Returns header fields with short names. */
  public static String fields(int count, int valueBytes) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(String.format(Locale.ROOT, "a%03d: ", i)).append("b".repeat(valueBytes));
      text.append("\r\n");
    }
    return text.toString();
  }

  private String id() {
    drawn++;
    return idPrefix + drawn;
  }

  private String word() {
    return Long.toHexString(random.nextLong());
  }
}

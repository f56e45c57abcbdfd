package dunlinhitch.experiments.memory;

/** Texts of requests with ids that are new each time. Not thread-safe. */
final class CrowdRequests {
  private final String idPrefix;
  private final String queryClass;
  private int drawn;

  /**
   * Creates a source of requests.
   *
   * @param idPrefix start of the ids of all queries
   * @param queryClass the class of the queries
   */
  CrowdRequests(String idPrefix, String queryClass) {
    this.idPrefix = idPrefix;
    this.queryClass = queryClass;
  }

  /** Returns a head without its end, for a body of a stated length. */
  String head(int bodyBytes) {
    return startOfHead() + "Content-Length: " + bodyBytes + "\r\n";
  }

  /** Returns a head without its end, for a chunked body. */
  String chunkedHead() {
    return startOfHead() + "Transfer-Encoding: chunked\r\n";
  }

  private String startOfHead() {
    drawn++;
    return "POST /"
        + queryClass
        + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: "
        + idPrefix
        + drawn
        + "\r\nX-Expires-In: 1.000\r\n";
  }

  /** Returns a valid query of two parts whose body has this many bytes. */
  String query(int bodyBytes) {
    String start = "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],";
    String field = "\"predicate\":\"";
    int text = bodyBytes - start.length() - field.length() - 2;
    return head(bodyBytes) + "\r\n" + start + field + "p".repeat(text) + "\"}";
  }
}

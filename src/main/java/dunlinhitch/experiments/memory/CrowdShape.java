package dunlinhitch.experiments.memory;

import static dunlinhitch.experiments.flood.RequestGrammar.fields;

import dunlinhitch.experiments.flood.ClientScript;
import java.util.function.Function;

/** What the connections of a crowd send. */
public enum CrowdShape {
  /** Valid queries of 30,000 bytes, 40 bytes a write. */
  SLOW_QUERIES(requests -> ClientScript.slowly(requests.query(30_000), 40)),
  /** Valid queries of 60,000 bytes, 1,200 bytes a write. */
  SLOW_BODIES(requests -> ClientScript.slowly(requests.query(60_000), 1_200)),
  /** Half of a body of 1,000,000 bytes. */
  HALF_OF_HUGE_BODY(
      requests -> ClientScript.atOnce(requests.head(1_000_000) + "\r\n" + " ".repeat(500_000))),
  /** All but the end of a body of 60,000 bytes. */
  MOST_OF_BODY(
      requests -> ClientScript.atOnce(requests.head(60_000) + "\r\n" + " ".repeat(59_000))),
  /** A head of 2,000 short fields that never ends. */
  MANY_FIELDS(requests -> ClientScript.slowly(requests.head(60_000) + fields(2_000, 1), 1_200)),
  /** A head of 700 short fields and most of a body. */
  MANY_FIELDS_AND_BODY(
      requests ->
          ClientScript.slowly(
              requests.head(60_000) + fields(700, 1) + "\r\n" + " ".repeat(54_000), 1_200)),
  /** A head of 60 fields of 100 bytes and most of a body. */
  LONG_FIELDS_AND_BODY(
      requests ->
          ClientScript.slowly(
              requests.head(60_000) + fields(60, 100) + "\r\n" + " ".repeat(54_000), 1_200)),
  /** The same short field again and again. */
  ENDLESS_FIELDS(requests -> ClientScript.endlessly(requests.head(60_000), "a:1\r\n")),
  /** A chunked body of chunks of one byte. */
  CHUNKS_OF_ONE_BYTE(
      requests -> ClientScript.endlessly(requests.chunkedHead() + "\r\n", "1\r\n \r\n")),
  /** A chunked body whose chunks have long extensions. */
  CHUNK_EXTENSIONS(
      requests ->
          ClientScript.endlessly(
              requests.chunkedHead() + "\r\n", "1;x=" + "e".repeat(4_000) + "\r\n \r\n")),
  /** A chunked body that ends with very many trailer fields. */
  MANY_TRAILERS(
      requests ->
          ClientScript.endlessly(requests.chunkedHead() + "\r\n1\r\n \r\n0\r\n", "a:1\r\n")),
  /** Whole bodies of 60,000 opening brackets. */
  BRACKETS(
      requests -> ClientScript.slowly(requests.head(60_000) + "\r\n" + "[".repeat(60_000), 8_000)),
  /** Eight whole queries of 60,000 bytes whose answers are never read. */
  UNREAD_ANSWERS(
      requests -> {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 8; i++) {
          text.append(requests.query(60_000));
        }
        return ClientScript.slowly(text.toString(), 16_000).withoutReading();
      }),
  /** Whole queries of 60,000 bytes, one after the other. */
  LARGE_QUERIES(requests -> ClientScript.slowly(requests.query(60_000), 16_000)),
  /** Connections that never send anything. */
  SILENT(requests -> ClientScript.atOnce(""));

  @SuppressWarnings("ImmutableEnumChecker") // the functions have no state
  private final Function<CrowdRequests, ClientScript> scripts;

  CrowdShape(Function<CrowdRequests, ClientScript> scripts) {
    this.scripts = scripts;
  }

  /** Returns the script of the next connection. */
  ClientScript next(CrowdRequests requests) {
    return scripts.apply(requests);
  }
}

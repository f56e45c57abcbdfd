package dunlinhitch.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.eclipsesource.json.Json;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class QueryReaderTest {
  /** Stack that less than the parser's own limit of 1,000 levels exhausts, in bytes. */
  private static final long STACK_BYTES = 192 * 1024;

  private final Settings settings = BrokerFixture.settings(40);
  private final QueryReader reader = new QueryReader(() -> settings);

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "predicate is missing | {'ranges':[{'range':0,'portion':1}]}",
        "ranges is missing or empty | {'predicate':'x'}",
        "range is missing | {'ranges':[{'portion':1}],'predicate':'x'}",
        "portion is missing | {'ranges':[{'range':0}],'predicate':'x'}"
      },
      quoteCharacter = '"')
  void missingFieldIsNamed(String message, String body) {
    MalformedQueryException error =
        assertThrows(
            MalformedQueryException.class,
            () -> read(body.replace('\'', '"').getBytes(StandardCharsets.UTF_8)));
    assertEquals(message, error.getMessage());
  }

  private static final String NESTED = "the body is no query: nested more than 32 levels deep";

  /**
   * Guards against a stack overflow of the thread that reads a request: nested arrays and objects
   * are rejected, wherever they stand, before the recursive parser sees them.
   */
  @ParameterizedTest
  @ValueSource(ints = {32, 900, 999, 3_000, 10_000})
  void deeplyNestedBodyIsMalformed(int depth) throws Exception {
    String arrays = "[".repeat(depth) + "]".repeat(depth);
    String objects = "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
    for (String body :
        List.of(
            "{\"ranges\":" + arrays + ",\"predicate\":\"x\"}",
            "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":" + objects + "}",
            "{\"unknown\":" + arrays + "}",
            "{\"a\\\"\":\"\\\\\",\"unknown\":" + objects + "}",
            "[".repeat(depth + 1),
            "{\"a\":".repeat(depth + 1))) {
      assertEquals(NESTED, failure(body), body.substring(0, 20));
    }
  }

  @Test
  void bracketsInStringsAreNotNesting() throws Exception {
    String brackets = "[{\\\"[".repeat(100);
    String unknown = "[".repeat(31) + "]".repeat(31);
    assertEquals(
        "accepted",
        failure(
            "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\""
                + brackets
                + "\",\"unknown\":"
                + unknown
                + "}"));
  }

  /** Reads a body on a thread with a small stack; returns why it was rejected. */
  private String failure(String body) throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                read(body.getBytes(StandardCharsets.UTF_8));
                result.complete("accepted");
              } catch (MalformedQueryException e) {
                result.complete(e.getMessage());
              } catch (RuntimeException | Error e) {
                result.complete("thrown: " + e);
              }
            },
            "small stack",
            STACK_BYTES);
    thread.start();
    return result.get(10, TimeUnit.SECONDS);
  }

  /**
   * Guards against a query that is altered and then served: a text that cannot be passed on
   * unchanged is rejected.
   */
  @ParameterizedTest
  @CsvSource({
    "c3, the body is not valid UTF-8",
    "fc, the body is not valid UTF-8",
    "c080, the body is not valid UTF-8",
    "eda0bc, the body is not valid UTF-8",
    "f4908080, the body is not valid UTF-8",
    "5c7564383363, predicate has half of a surrogate pair",
    "5c7564666235, predicate has half of a surrogate pair",
    "5c75646662355c7564383363, predicate has half of a surrogate pair",
    "5c75643833635c7564383363, predicate has half of a surrogate pair"
  })
  void textThatCannotBePassedOnIsMalformed(String bytes, String message) {
    MalformedQueryException error =
        assertThrows(
            MalformedQueryException.class, () -> read(bodyWith(HexFormat.of().parseHex(bytes))));
    assertEquals(message, error.getMessage());
  }

  @ParameterizedTest
  @ValueSource(strings = {"c3bc", "f09f8eb5", "efbfbd", "5c75643833635c7564666235", "5c7530306663"})
  void everyCharacterIsPassedOn(String bytes) throws Exception {
    byte[] text = HexFormat.of().parseHex(bytes);
    String expected = Json.parse('"' + new String(text, StandardCharsets.UTF_8) + '"').asString();
    assertEquals("x" + expected, read(bodyWith(text)).text());
  }

  private static byte[] bodyWith(byte[] text) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.writeBytes(
        "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x"
            .getBytes(StandardCharsets.US_ASCII));
    body.writeBytes(text);
    body.writeBytes("\"}".getBytes(StandardCharsets.US_ASCII));
    return body.toByteArray();
  }

  private QueryRequest read(byte[] body) throws MalformedQueryException {
    Map<String, String> headers = Map.of("X-Trace-Id", "t1", "X-Expires-In", "1.0");
    return reader.read(settings.classes().get(0), headers::get, List.of(), body, 0);
  }
}

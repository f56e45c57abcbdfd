package dunlinhitch.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Error messages for queries with a missing field. */
class QueryReaderTest {
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
    Map<String, String> headers = Map.of("X-Trace-Id", "t1", "X-Expires-In", "1.0");
    MalformedQueryException error =
        assertThrows(
            MalformedQueryException.class,
            () ->
                reader.read(
                    settings.classes().get(0),
                    headers::get,
                    List.of(),
                    body.replace('\'', '"'),
                    0));
    assertEquals(message, error.getMessage());
  }
}

package dunlinhitch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.endpoints.Endpoint;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointListReaderTest {
  private final List<Event> events = new ArrayList<>();
  private final EndpointListReader reader = new EndpointListReader(null, events::add);

  /**
   * Guards against two stores that become one: ids that are not valid UTF-8, or have half of a
   * surrogate pair, are altered alike when they are decoded or encoded. Such an entry is skipped
   * and counted; the other entries are used.
   */
  @ParameterizedTest
  @ValueSource(strings = {"s-\u00fc", "s-\\ud83c", "s-\\udfb5"})
  void entryWithAnAlteredIdIsSkipped(String id) throws Exception {
    String list =
        "{\"generation\":1,\"reset\":true,\"instances\":[" + entry(id) + "," + entry("s-1") + "]}";
    // a Latin-1 umlaut is no UTF-8
    byte[] bytes = list.getBytes(StandardCharsets.ISO_8859_1);
    String decoded = new EndpointListParser(10_000).read(bytes).get(0);
    Event.EndpointsUpdated update = reader.read(Json.parse(decoded).asObject(), false);
    assertEquals(List.of("s-1"), update.endpoints().stream().map(Endpoint::name).toList());
    assertEquals(List.of(new Event.ConditionCounted(Counter.ENDPOINT_ENTRIES_INVALID)), events);
  }

  private static String entry(String id) {
    return "{\"instanceId\":\""
        + id
        + "\",\"hostPort\":\"127.0.0.1:7\",\"cell\":0,\"lifecycle\":\"ready\"}";
  }
}

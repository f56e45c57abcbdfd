package dunlinhitch.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.core.Effect.AttemptRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The remaining time until the deadline, as encoded in a call to a store. */
class RequestTextTest {
  private static final long DUE_US = 500_000;

  /** The time is rounded down, so that a store never gets more time than the client has left. */
  @ParameterizedTest
  @CsvSource({"0, 500", "100001, 399", "498500, 1", "499999, 1"})
  void remainingTimeIsComputedWhenRequestIsEncoded(long writtenUs, long expectedMs) {
    AttemptRequest part = new AttemptRequest(1, "q.0", 0, "", DUE_US, "text");
    String text = new String(RequestText.of(List.of(part), writtenUs), StandardCharsets.UTF_8);
    assertEquals("q.0 0 d=" + expectedMs + " 4\ntext", text);
  }
}

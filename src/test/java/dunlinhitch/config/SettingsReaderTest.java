package dunlinhitch.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Settings objects with missing and unknown keys. */
class SettingsReaderTest {
  @Test
  void ignoresUnknownKeysAndAppliesDefaults() {
    Settings settings =
        SettingsReader.read(
            """
                {"New": [1], "Classes": [{"DeadlineUs": 5000, "OnTimeUs": 1000, "Idempotency": "guarded"}],
                 "Domain": {"ClassNeed": [0.5]}, "Report": {"Via": "probe", "Fields": ["backlog", "x0"]}}""");
    assertEquals(Idempotency.GUARDED, settings.classes().get(0).idempotency());
    assertEquals(0.5, settings.classes().get(0).floor());
    assertEquals(-1, settings.rules().retryRatio());
    assertEquals(List.of(LoadReportField.BACKLOG, LoadReportField.OTHER), settings.reportFields());
    assertTrue(
        settings.reportsInHealthChecks()
            && !settings.reportsInAnswers()
            && !settings.mustPollServerList());
  }
}

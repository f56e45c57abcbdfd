package dunlinhitch.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.core.BrokerStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The metrics text; dashboards depend on its names and labels. */
class MetricsTextTest {
  @Test
  void rendersEveryMetricWithHelpAndType() {
    BrokerStatus status =
        new BrokerStatus(
            List.of(new BrokerStatus.ClassCounts("a\"\\\n", 1, 2, 3)), 4, 5, 6, 7, 8, 9);
    assertEquals(
        """
        # HELP router_passed Requests served.
        # TYPE router_passed counter
        router_passed{category="a\\"\\\\\\n"} 1
        # HELP router_dropped Requests refused.
        # TYPE router_dropped counter
        router_dropped{category="a\\"\\\\\\n"} 2
        # HELP router_bad_gateway Requests failed.
        # TYPE router_bad_gateway counter
        router_bad_gateway{category="a\\"\\\\\\n"} 3
        # HELP router_upstream_tries Attempts written whole to calendar stores.
        # TYPE router_upstream_tries counter
        router_upstream_tries 4
        # HELP router_in_progress Requests taken but not yet ended.
        # TYPE router_in_progress gauge
        router_in_progress 5
        # HELP router_known_calendar_stores Calendar stores on the list.
        # TYPE router_known_calendar_stores gauge
        router_known_calendar_stores 6
        # HELP router_skipped_calendar_stores Calendar stores on the list that get nothing new.
        # TYPE router_skipped_calendar_stores gauge
        router_skipped_calendar_stores 7
        # HELP router_loads Configurations taken on SIGHUP.
        # TYPE router_loads counter
        router_loads 8
        # HELP router_load_errors Configurations turned down on SIGHUP.
        # TYPE router_load_errors counter
        router_load_errors 9
        """,
        MetricsText.of(status));
  }
}

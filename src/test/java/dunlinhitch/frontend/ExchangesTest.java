package dunlinhitch.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ExchangesTest {
  private static final long DEADLINE_US = 1_000_000;

  private final List<Event> events = new ArrayList<>();
  private final List<QueryResponse> responses = new ArrayList<>();
  private final Exchanges exchanges = new Exchanges(events::add);

  private long open() {
    return exchanges.open(
        new QueryRequest(
            "q",
            "",
            BrokerFixture.settings(100).classes().get(0),
            DEADLINE_US,
            false,
            List.of(new QueryRequest.PartRequest(0, 1, 0)),
            "x"),
        responses::add);
  }

  /** Guards against a request that never gets a response because the reducer lost its query. */
  @Test
  void overdueQueryIsAnsweredOnceAndEnded() {
    long exchange = open();
    events.clear();
    exchanges.expireOverdue(DEADLINE_US + Exchanges.OVERDUE_US - 1);
    assertEquals(List.of(), responses);
    exchanges.expireOverdue(DEADLINE_US + Exchanges.OVERDUE_US);
    exchanges.expireOverdue(DEADLINE_US + Exchanges.OVERDUE_US);
    exchanges.complete(exchange, new QueryResponse.Failed());
    assertEquals(List.of(new QueryResponse.DeadlineExceeded()), responses);
    assertEquals(
        List.of(
            new Event.ConditionCounted(Counter.RESPONSES_OVERDUE),
            new Event.ClientDisconnected(exchange)),
        events);
  }

  @Test
  void answeredAndAbandonedQueriesDoNotExpire() {
    exchanges.complete(open(), new QueryResponse.Failed());
    exchanges.clientDisconnected(open());
    events.clear();
    exchanges.expireOverdue(Long.MAX_VALUE);
    assertEquals(List.of(new QueryResponse.Failed()), responses);
    assertEquals(List.of(), events);
  }
}

package dunlinhitch.frontend;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Queries of all frontends that wait for their response. Each query is an exchange with a number,
 * which also identifies the response. Used on the event loop only.
 */
public final class Exchanges {
  /**
   * Time after the deadline of a query for which the reducer's response is awaited, in
   * microseconds. A response that is half a second late counts as lost.
   */
  static final long OVERDUE_US = 200_000;

  /**
   * A query that waits for its response.
   *
   * @param overdueUs when the response is overdue, in microseconds
   */
  private record OpenExchange(Consumer<QueryResponse> writer, long overdueUs) {}

  private final Map<Long, OpenExchange> openExchanges = new HashMap<>();
  private final Consumer<Event> events;
  private long lastExchange;

  /** Creates a table without exchanges; {@code events} receives the queries. */
  public Exchanges(Consumer<Event> events) {
    this.events = events;
  }

  /**
   * Opens an exchange for a query.
   *
   * @param writer receives the response, unless the client disconnects first
   * @return the number of the exchange
   */
  public long open(QueryRequest query, Consumer<QueryResponse> writer) {
    long exchange = ++lastExchange;
    openExchanges.put(exchange, new OpenExchange(writer, query.deadlineUs() + OVERDUE_US));
    events.accept(new Event.QueryReceived(exchange, query));
    return exchange;
  }

  /** Handles a client's disconnect; ignored if the exchange is already completed. */
  public void clientDisconnected(long exchange) {
    if (openExchanges.remove(exchange) != null) {
      events.accept(new Event.ClientDisconnected(exchange));
    }
  }

  /** Completes an exchange; ignored if the client has disconnected. */
  public void complete(long exchange, QueryResponse response) {
    OpenExchange open = openExchanges.remove(exchange);
    if (open != null) {
      open.writer().accept(response);
    }
  }

  /**
   * Responds to the queries whose response is overdue; must be called periodically. The reducer
   * responds by the deadline, but a query is unknown to it if the turn that received the query
   * failed.
   */
  public void expireOverdue(long nowUs) {
    List<Long> overdue =
        openExchanges.entrySet().stream()
            .filter(entry -> nowUs >= entry.getValue().overdueUs())
            .map(Map.Entry::getKey)
            .toList();
    for (long exchange : overdue) {
      events.accept(new Event.ConditionCounted(Counter.RESPONSES_OVERDUE));
      events.accept(new Event.ClientDisconnected(exchange)); // ends the query if it is open
      complete(exchange, new QueryResponse.DeadlineExceeded());
    }
  }

  /** The number of exchanges without a response. */
  public int openCount() {
    return openExchanges.size();
  }
}

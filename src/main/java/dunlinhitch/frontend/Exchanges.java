package dunlinhitch.frontend;

import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Queries of all frontends that wait for their response. Each query is an exchange with a number,
 * which also identifies the response. Used on the event loop only.
 */
public final class Exchanges {
  private final Map<Long, Consumer<QueryResponse>> openExchanges = new HashMap<>();
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
    openExchanges.put(exchange, writer);
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
    Consumer<QueryResponse> writer = openExchanges.remove(exchange);
    if (writer != null) {
      writer.accept(response);
    }
  }

  /** The number of exchanges without a response. */
  public int openCount() {
    return openExchanges.size();
  }
}

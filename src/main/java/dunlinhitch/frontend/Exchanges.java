package dunlinhitch.frontend;

import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Requests that wait for their answer, whichever front took them: a number goes in with the query
 * and the answer comes back under it. All calls come from the event loop.
 */
public final class Exchanges {
  private final Map<Long, Consumer<QueryResponse>> waiting = new HashMap<>();
  private final Consumer<Event> events;
  private long last;

  public Exchanges(Consumer<Event> events) {
    this.events = events;
  }

  /** Hands a query in; {@code writer} gets its one answer unless the client leaves first. */
  public long open(QueryRequest ask, Consumer<QueryResponse> writer) {
    long exchange = ++last;
    waiting.put(exchange, writer);
    events.accept(new Event.QueryReceived(exchange, ask));
    return exchange;
  }

  /** The client has gone; nothing is said if it was answered before. */
  public void left(long exchange) {
    if (waiting.remove(exchange) != null) {
      events.accept(new Event.ClientDisconnected(exchange));
    }
  }

  /** Passes the answer to the front that asked. */
  public void reply(long exchange, QueryResponse answer) {
    Consumer<QueryResponse> writer = waiting.remove(exchange);
    if (writer != null) {
      writer.accept(answer);
    }
  }

  public int waiting() {
    return waiting.size();
  }
}

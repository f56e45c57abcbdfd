package dunlinhitch.intake;

import dunlinhitch.core.Answer;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryAsk;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Requests that wait for their answer, whichever front took them: a number goes in with the query
 * and the answer comes back under it. All calls come from the event loop.
 */
public final class Exchanges {
  private final Map<Long, Consumer<Answer>> waiting = new HashMap<>();
  private final Consumer<Event> events;
  private long last;

  public Exchanges(Consumer<Event> events) {
    this.events = events;
  }

  /** Hands a query in; {@code writer} gets its one answer unless the client leaves first. */
  public long open(QueryAsk ask, Consumer<Answer> writer) {
    long exchange = ++last;
    waiting.put(exchange, writer);
    events.accept(new Event.QueryTaken(exchange, ask));
    return exchange;
  }

  /** The client has gone; nothing is said if it was answered before. */
  public void left(long exchange) {
    if (waiting.remove(exchange) != null) {
      events.accept(new Event.ClientLeft(exchange));
    }
  }

  /** Passes the answer to the front that asked. */
  public void reply(long exchange, Answer answer) {
    Consumer<Answer> writer = waiting.remove(exchange);
    if (writer != null) {
      writer.accept(answer);
    }
  }

  public int waiting() {
    return waiting.size();
  }
}

package dunlinhitch.frontend;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The graceful shutdown of a frontend as a state machine over its connections: events in, actions
 * out, without a clock, threads or I/O of its own.
 *
 * <p>The order that it guarantees: a connection is half-closed after a response that announced it,
 * or when a last read of what had arrived found that no request had started; what is read after
 * that is discarded. Idle connections are closed while the listener is still open, so that a client
 * whose request crosses the close can connect again. Then the listener accepts the connections in
 * its queue and closes, and their requests are still read: such a query is refused, never dropped.
 * All of it ends by an absolute deadline.
 *
 * <p>Not thread-safe. All times are in microseconds on one clock.
 *
 * @param <C> a connection, compared by its {@code equals}
 */
public final class GracefulShutdown<C> {
  /** How far the shutdown of the frontend is. */
  public enum Stage {
    /** No shutdown was requested. */
    SERVING,
    /** Queries are served, but each response ends its connection. */
    DRAINING,
    /** No query is forwarded any more. */
    REFUSING,
    /** The shutdown is complete. */
    CLOSED
  }

  /** What happens to a request that was received completely. */
  public enum Disposition {
    /** It is served. */
    FORWARD,
    /** It gets a response that refuses it. */
    REFUSE,
    /** It is ignored: it arrived after the half-close. */
    DROP
  }

  private enum State {
    IDLE,
    READING,
    AWAITING_RESPONSE,
    HALF_CLOSED
  }

  /** What the frontend does for the state machine. */
  public interface Actions<C> {
    /**
     * Reads what has arrived; where that is something, {@link #requestStarted} is called before
     * this returns.
     */
    void readOnce(C connection);

    /** Sends what was written and shuts the output down; what arrives later is discarded. */
    void halfClose(C connection);

    /** Refuses an incomplete request with a response that ends the connection. */
    void refuse(C connection);

    /** Accepts the queued connections and closes; {@link #listenerClosed} is called after that. */
    void closeListener();

    /** The shutdown is complete; connections that are still open are to be aborted. */
    void closed();
  }

  private static final class Entry {
    private final long acceptedUs;
    private State state = State.IDLE;

    Entry(long acceptedUs) {
      this.acceptedUs = acceptedUs;
    }
  }

  private final Map<C, Entry> entries = new LinkedHashMap<>();
  private final Actions<C> actions;
  private final long requestTransitUs;
  private Stage stage = Stage.SERVING;

  /** When an idle connection was closed last. */
  private long idleClosedUs = Long.MIN_VALUE / 2;

  private long deadlineUs = Long.MAX_VALUE;

  /** When the listener is to be closed. */
  private long closeListenerUs = Long.MAX_VALUE;

  /** From when on incomplete requests are refused. */
  private long refuseIncompleteUs = Long.MAX_VALUE;

  private boolean listenerClosed;

  /**
   * Creates a state machine without connections.
   *
   * @param requestTransitUs how long a request may be in transit that crosses the close of its
   *     connection
   */
  public GracefulShutdown(Actions<C> actions, long requestTransitUs) {
    this.actions = actions;
    this.requestTransitUs = requestTransitUs;
  }

  /** How far the shutdown is. */
  public Stage stage() {
    return stage;
  }

  /** True where the next response on any connection is its last. */
  public boolean isDraining() {
    return stage != Stage.SERVING;
  }

  // ---- events of connections

  /** A connection was accepted. */
  public void accepted(long nowUs, C connection) {
    entries.put(connection, new Entry(nowUs));
  }

  /** The first bytes of a request were read. */
  public void requestStarted(C connection) {
    Entry entry = entries.get(connection);
    if (entry != null && entry.state == State.IDLE) {
      entry.state = State.READING;
    }
  }

  /** A request was received completely; the result says what to do with it. */
  public Disposition requestReceived(C connection) {
    Entry entry = entries.get(connection);
    if (entry == null || entry.state != State.READING) {
      return Disposition.DROP;
    }
    entry.state = State.AWAITING_RESPONSE;
    return stage == Stage.SERVING || stage == Stage.DRAINING
        ? Disposition.FORWARD
        : Disposition.REFUSE;
  }

  /**
   * A response was written.
   *
   * @param last true where it announced that the connection ends
   */
  public void responseWritten(C connection, boolean last) {
    Entry entry = entries.get(connection);
    if (entry == null || entry.state == State.HALF_CLOSED) {
      return;
    }
    if (last) {
      halfClose(connection, entry);
    } else {
      entry.state = State.IDLE;
    }
  }

  /** The connection is being closed for another reason. */
  public void halfClosed(C connection) {
    Entry entry = entries.get(connection);
    if (entry != null) {
      entry.state = State.HALF_CLOSED;
    }
  }

  /** The connection is closed completely. */
  public void disconnected(C connection) {
    entries.remove(connection);
    closeIfDone();
  }

  /**
   * Half-closes a connection on which no request has started, not even in what has arrived and was
   * not read yet.
   *
   * @return false where a request has started
   */
  public boolean closeIfIdle(long nowUs, C connection) {
    Entry entry = entries.get(connection);
    if (!isStillAfterRead(connection, entry, State.IDLE)) {
      return false;
    }
    idleClosedUs = nowUs;
    halfClose(connection, entry);
    return true;
  }

  /**
   * Refuses a request that is incomplete, even with what has arrived and was not read yet.
   *
   * @return false where there is no incomplete request
   */
  public boolean refuseIfIncomplete(C connection) {
    Entry entry = entries.get(connection);
    if (!isStillAfterRead(connection, entry, State.READING)) {
      return false;
    }
    entry.state = State.AWAITING_RESPONSE;
    actions.refuse(connection);
    return true;
  }

  /** True where the connection is in that state, also after a read of what has arrived. */
  private boolean isStillAfterRead(C connection, Entry entry, State expected) {
    if (entry == null || entry.state != expected) {
      return false;
    }
    actions.readOnce(connection);
    return entry.state == expected && entries.get(connection) == entry;
  }

  private void halfClose(C connection, Entry entry) {
    entry.state = State.HALF_CLOSED;
    actions.halfClose(connection);
  }

  // ---- events of the frontend

  /**
   * From now on each response ends its connection.
   *
   * @param closeIdle true where idle connections are closed now
   */
  public void drain(long nowUs, boolean closeIdle) {
    if (stage == Stage.SERVING) {
      stage = Stage.DRAINING;
    }
    if (closeIdle && stage == Stage.DRAINING) {
      closeIdleConnections(nowUs);
    }
  }

  /** From now on no query is forwarded, and the shutdown is complete by the deadline. */
  public void refuse(long nowUs, long newDeadlineUs) {
    if (stage == Stage.REFUSING || stage == Stage.CLOSED) {
      return;
    }
    stage = Stage.REFUSING;
    deadlineUs = newDeadlineUs;
    closeIdleConnections(nowUs);
    long afterTransitUs = Math.max(nowUs, idleClosedUs + requestTransitUs);
    long thirdOfTimeUs = nowUs + Math.max(0, deadlineUs - nowUs) / 3;
    closeListenerUs = Math.min(afterTransitUs, thirdOfTimeUs);
    advance(nowUs);
  }

  /** Spares connections that were accepted just now: a request is probably in transit on them. */
  private void closeIdleConnections(long nowUs) {
    for (Map.Entry<C, Entry> connection : List.copyOf(entries.entrySet())) {
      if (nowUs - connection.getValue().acceptedUs >= requestTransitUs) {
        closeIfIdle(nowUs, connection.getKey());
      }
    }
  }

  /** The listener is closed and accepts no more. */
  public void listenerClosed(long nowUs) {
    listenerClosed = true;
    refuseIncompleteUs = nowUs + Math.min(requestTransitUs, Math.max(0, deadlineUs - nowUs) / 2);
    closeIfDone();
  }

  /** Does what is due; to be called every few milliseconds during the shutdown. */
  public void advance(long nowUs) {
    if (stage != Stage.REFUSING) {
      return;
    }
    closeIdleConnections(nowUs);
    if (nowUs >= closeListenerUs) {
      closeListenerUs = Long.MAX_VALUE;
      actions.closeListener();
    }
    if (nowUs >= refuseIncompleteUs || nowUs >= deadlineUs) {
      for (C connection : List.copyOf(entries.keySet())) {
        closeIfIdle(nowUs, connection);
        refuseIfIncomplete(connection);
      }
    }
    if (nowUs >= deadlineUs && stage == Stage.REFUSING) {
      close();
    }
  }

  private void closeIfDone() {
    if (stage == Stage.REFUSING && listenerClosed && entries.isEmpty()) {
      close();
    }
  }

  private void close() {
    stage = Stage.CLOSED;
    actions.closed();
  }
}

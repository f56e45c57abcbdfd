package dunlinhitch.frontend;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The graceful shutdown of a frontend as a state machine over its connections. The frontend reports
 * events to it and executes its actions; it has no clock, threads or I/O of its own.
 *
 * <p>The steps have a guaranteed order. A connection is half-closed only after a response that
 * announced the close, or after a final read found that no request had started. Bytes that are read
 * after the half-close are discarded. Idle connections are closed while the listener is still open,
 * so that a client that sends a request during the close can connect again. Then the listener
 * accepts the connections in its queue and closes. The requests on them are still read, and their
 * queries are refused rather than dropped. The shutdown is complete by an absolute deadline.
 *
 * <p>Not thread-safe. All times are in microseconds on one clock.
 *
 * @param <C> a connection, compared by its {@code equals}
 */
public final class GracefulShutdown<C> {
  /** Stages of the shutdown, in order. */
  public enum Stage {
    /** No shutdown was requested. */
    SERVING,
    /** Queries are served, but each response closes its connection. */
    DRAINING,
    /** Queries are refused. */
    REFUSING,
    /** The shutdown is complete. */
    CLOSED
  }

  /** How a completely received request is handled. */
  public enum Disposition {
    /** The request is served. */
    FORWARD,
    /** The request is answered with a refusal. */
    REFUSE,
    /** The request is ignored, because it arrived after the half-close. */
    DROP
  }

  private enum State {
    IDLE,
    READING,
    AWAITING_RESPONSE,
    HALF_CLOSED
  }

  /** Actions that the frontend executes for the state machine. */
  public interface Actions<C> {
    /**
     * Reads the bytes that have arrived; if there are any, {@link #requestStarted} is called before
     * this returns.
     */
    void readOnce(C connection);

    /** Sends pending writes and shuts down the output; bytes that arrive later are discarded. */
    void halfClose(C connection);

    /** Refuses an incomplete request with a response that closes the connection. */
    void refuse(C connection);

    /**
     * Accepts the queued connections and closes the listener; {@link #listenerClosed} is called
     * after that.
     */
    void closeListener();

    /** Called when the shutdown is complete; connections that are still open must be aborted. */
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

  /** The time at which an idle connection was last closed. */
  private long idleClosedUs = Long.MIN_VALUE / 2;

  private long deadlineUs = Long.MAX_VALUE;

  /** The time by which the listener must be closed. */
  private long closeListenerUs = Long.MAX_VALUE;

  /** The time from which incomplete requests are refused. */
  private long refuseIncompleteUs = Long.MAX_VALUE;

  private boolean listenerClosed;

  /**
   * Creates a state machine without connections.
   *
   * @param requestTransitUs maximum transit time of a request that the client has sent before it
   *     reads the close of its connection
   */
  public GracefulShutdown(Actions<C> actions, long requestTransitUs) {
    this.actions = actions;
    this.requestTransitUs = requestTransitUs;
  }

  /** Returns the current stage of the shutdown. */
  public Stage stage() {
    return stage;
  }

  /** Returns true if each connection closes with its next response. */
  public boolean isDraining() {
    return stage != Stage.SERVING;
  }

  // ---- events of connections

  /** Records an accepted connection. */
  public void accepted(long nowUs, C connection) {
    entries.put(connection, new Entry(nowUs));
  }

  /** Records that the first bytes of a request were read. */
  public void requestStarted(C connection) {
    Entry entry = entries.get(connection);
    if (entry != null && entry.state == State.IDLE) {
      entry.state = State.READING;
    }
  }

  /** Records that a request was received completely; returns how to handle it. */
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
   * Records that a response was written.
   *
   * @param last whether the response announced the close of the connection
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

  /** Records that the frontend closes a connection for a reason of its own. */
  public void halfClosed(C connection) {
    Entry entry = entries.get(connection);
    if (entry != null) {
      entry.state = State.HALF_CLOSED;
    }
  }

  /** Records that a connection is completely closed. */
  public void disconnected(C connection) {
    entries.remove(connection);
    closeIfDone();
  }

  /**
   * Half-closes a connection on which no request has started. Bytes that have arrived are read
   * first.
   *
   * @return false if a request has started
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
   * Refuses an incomplete request. Bytes that have arrived are read first.
   *
   * @return false if there is no incomplete request
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

  /**
   * Reads the bytes that have arrived. Returns true if the connection was in the expected state
   * before the read and is still in that state after it.
   */
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
   * Starts the drain: from now on each response closes its connection.
   *
   * @param closeIdle whether to close idle connections now
   */
  public void drain(long nowUs, boolean closeIdle) {
    if (stage == Stage.SERVING) {
      stage = Stage.DRAINING;
    }
    if (closeIdle && stage == Stage.DRAINING) {
      closeIdleConnections(nowUs);
    }
  }

  /** Starts to refuse queries; the shutdown is complete by the deadline. */
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

  /**
   * Closes idle connections, except recently accepted ones, on which a request is probably in
   * transit.
   */
  private void closeIdleConnections(long nowUs) {
    for (Map.Entry<C, Entry> connection : List.copyOf(entries.entrySet())) {
      if (nowUs - connection.getValue().acceptedUs >= requestTransitUs) {
        closeIfIdle(nowUs, connection.getKey());
      }
    }
  }

  /** Records that the listener is closed. */
  public void listenerClosed(long nowUs) {
    listenerClosed = true;
    refuseIncompleteUs = nowUs + Math.min(requestTransitUs, Math.max(0, deadlineUs - nowUs) / 2);
    closeIfDone();
  }

  /**
   * Executes the actions that are due; must be called every few milliseconds during the shutdown.
   */
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

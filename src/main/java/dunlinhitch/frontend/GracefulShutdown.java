package dunlinhitch.frontend;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The end of a front as a state machine over its connections: events in, actions out, no clock,
 * thread or reading of its own. The order that holds: a connection is half-closed behind an answer
 * that said so, or when a last read of what had come found nothing begun; what is read after that
 * is dropped. Resting connections go while the listener is still there, for a client whose request
 * crosses the close comes again. Then the listener lets in whoever waits in its queue and closes,
 * and those whom it let in last are still heard: a query of theirs that is read is refused, never
 * dropped. All of it ends by an absolute deadline.
 */
public final class GracefulShutdown<C> {
  /**
   * Of the whole front; {@code LEAVING}: each answer ends its connection; {@code REFUSING}: nothing
   * is sent on any more.
   */
  public enum Stage {
    SERVING,
    LEAVING,
    REFUSING,
    CLOSED
  }

  /** What becomes of a request that was read whole. */
  public enum Fate {
    SEND_ON,
    REFUSE,
    DROP
  }

  private enum State {
    QUIET,
    READING,
    OPEN,
    HALF_CLOSED
  }

  /** What the front does. */
  public interface Acts<C> {
    /**
     * Reads what has come already; where that is something, {@link #begun} is told before this
     * returns.
     */
    void readOnce(C connection);

    /** All that was written goes out first; what comes in after is read and discarded. */
    void halfClose(C connection);

    /** A request that has begun and is not whole is told no, and the connection ends. */
    void refuse(C connection);

    /** Whoever waits in the queue is let in, then it closes; {@link #listenerClosed} is told. */
    void closeListener();

    /** All is over; what is still open is cut. */
    void closed();
  }

  private static final class Link {
    private final long madeUs;
    private State state = State.QUIET;

    Link(long madeUs) {
      this.madeUs = madeUs;
    }
  }

  private final Map<C, Link> links = new LinkedHashMap<>();
  private final Acts<C> acts;
  private final long crossingUs;
  private Stage stage = Stage.SERVING;
  private long quietClosedUs = Long.MIN_VALUE / 2;
  private long dueUs = Long.MAX_VALUE;
  private long listenerUs = Long.MAX_VALUE;
  private long lastUs = Long.MAX_VALUE;
  private boolean listenerClosed;

  /** What crosses the closing of its connection comes within {@code crossingUs}. */
  public GracefulShutdown(Acts<C> acts, long crossingUs) {
    this.acts = acts;
    this.crossingUs = crossingUs;
  }

  public Stage stage() {
    return stage;
  }

  /** True where the next answer of any connection is its last. */
  public boolean isLeaving() {
    return stage != Stage.SERVING;
  }

  // ---- connections

  public void made(long now, C connection) {
    links.put(connection, new Link(now));
  }

  /** The first bytes of a request were read. */
  public void begun(C connection) {
    Link link = links.get(connection);
    if (link != null && link.state == State.QUIET) {
      link.state = State.READING;
    }
  }

  /** A request was read whole. */
  public Fate taken(C connection) {
    Link link = links.get(connection);
    if (link == null || link.state != State.READING) {
      return Fate.DROP;
    }
    link.state = State.OPEN;
    return stage == Stage.SERVING || stage == Stage.LEAVING ? Fate.SEND_ON : Fate.REFUSE;
  }

  /** The answer was written; {@code last}: it said that the connection ends. */
  public void answered(C connection, boolean last) {
    Link link = links.get(connection);
    if (link != null && link.state != State.HALF_CLOSED) {
      if (last) {
        halfClose(connection, link);
      } else {
        link.state = State.QUIET;
      }
    }
  }

  /** It is being closed by something else. */
  public void halfClosed(C connection) {
    Link link = links.get(connection);
    if (link != null) {
      link.state = State.HALF_CLOSED;
    }
  }

  public void gone(C connection) {
    links.remove(connection);
    closeIfOver();
  }

  /**
   * Half-closes one on which nothing has begun, not even in what has come and was not read yet;
   * true where it did.
   */
  public boolean closeQuiet(long now, C connection) {
    Link link = links.get(connection);
    if (link == null || link.state != State.QUIET) {
      return false;
    }
    acts.readOnce(connection);
    if (link.state != State.QUIET || links.get(connection) != link) {
      return false;
    }
    quietClosedUs = now;
    halfClose(connection, link);
    return true;
  }

  /**
   * Refuses a request that is not whole, not even with what has come and was not read yet; true
   * where it did.
   */
  public boolean refuseUnfinished(C connection) {
    Link link = links.get(connection);
    if (link == null || link.state != State.READING) {
      return false;
    }
    acts.readOnce(connection);
    if (link.state != State.READING || links.get(connection) != link) {
      return false;
    }
    link.state = State.OPEN;
    acts.refuse(connection);
    return true;
  }

  private void halfClose(C connection, Link link) {
    link.state = State.HALF_CLOSED;
    acts.halfClose(connection);
  }

  // ---- the front

  /** Each answer ends its connection from now on; {@code closeQuiet}: those that rest end now. */
  public void leave(long now, boolean closeQuiet) {
    if (stage == Stage.SERVING) {
      stage = Stage.LEAVING;
    }
    if (closeQuiet && stage == Stage.LEAVING) {
      closeRested(now);
    }
  }

  /** Nothing is sent on any more, and all is over by {@code dueUs}. */
  public void refuse(long now, long dueUs) {
    if (stage == Stage.REFUSING || stage == Stage.CLOSED) {
      return;
    }
    stage = Stage.REFUSING;
    this.dueUs = dueUs;
    closeRested(now);
    listenerUs =
        Math.min(Math.max(now, quietClosedUs + crossingUs), now + Math.max(0, dueUs - now) / 3);
    passed(now);
  }

  /** Those that have just been made have a request under way, most likely. */
  private void closeRested(long now) {
    for (Map.Entry<C, Link> entry : List.copyOf(links.entrySet())) {
      if (now - entry.getValue().madeUs >= crossingUs) {
        closeQuiet(now, entry.getKey());
      }
    }
  }

  public void listenerClosed(long now) {
    listenerClosed = true;
    lastUs = now + Math.min(crossingUs, Math.max(0, dueUs - now) / 2);
    closeIfOver();
  }

  /** Time has gone on. */
  public void passed(long now) {
    if (stage != Stage.REFUSING) {
      return;
    }
    closeRested(now);
    if (now >= listenerUs) {
      listenerUs = Long.MAX_VALUE;
      acts.closeListener();
    }
    if (now >= lastUs || now >= dueUs) {
      for (C connection : List.copyOf(links.keySet())) {
        closeQuiet(now, connection);
        refuseUnfinished(connection);
      }
    }
    if (now >= dueUs && stage == Stage.REFUSING) {
      close();
    }
  }

  private void closeIfOver() {
    if (stage == Stage.REFUSING && listenerClosed && links.isEmpty()) {
      close();
    }
  }

  private void close() {
    stage = Stage.CLOSED;
    acts.closed();
  }
}

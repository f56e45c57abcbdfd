package dunlinhitch.frontend.http;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.frontend.GracefulShutdown;
import dunlinhitch.frontend.GracefulShutdown.Fate;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The connections that clients hold, and until when each may go on as it does. Guards against those
 * that say nothing or never come to an end: they cost descriptors and memory that clients with a
 * query need. How the front ends is {@link GracefulShutdown}'s, which also says that nothing is
 * closed on which a request has come unread.
 */
final class ClientConnections {
  /**
   * A first request must be whole so soon after its connection was made, a later one so soon after
   * its first byte.
   */
  private static final long WHOLE_AFTER_US = 2_500_000;

  private static final long IDLE_US = 5_000_000;

  /** Where many are held, an idle one goes sooner. */
  private static final long IDLE_WHEN_MANY_US = 2_000_000;

  /** A client that takes nothing of its answer for so long gets no more of it. */
  private static final long WRITE_US = 5_000_000;

  private static final long LINGER_US = 1_000_000;

  /** What crosses the closing of its connection comes so soon, if the listener is still there. */
  static final long CROSSING_US = 150_000;

  /** What of the end the front itself does. */
  interface Host {
    /** A request of which the head was read is told no, and its connection ends. */
    void refuse(HttpServerRequest request);

    void closeListener();

    void closed();
  }

  /** {@code HEAD}: some bytes of a request have come; {@code READING}: its head was read. */
  private enum Stage {
    SILENT,
    HEAD,
    READING,
    OPEN,
    IDLE
  }

  private static final class Link {
    private final HttpConnection connection;
    private final long madeUs;

    /** Bytes have come that no request was made of yet. */
    private final BooleanSupplier holdsAny;

    private LingeringClose edge;
    private Stage stage = Stage.SILENT;
    private long sinceUs;
    private boolean first = true;

    /** What was read last and is not answered. */
    private HttpServerRequest request;

    /**
     * Told where the client of its last query leaves; nothing comes of it once that is answered.
     */
    private Runnable left = () -> {};

    /** Its next answer is the last; {@code closing}: that was written. */
    private boolean last;

    private boolean crowded;
    private boolean closing;

    Link(HttpConnection connection, long madeUs, BooleanSupplier holdsAny) {
      this.holdsAny = holdsAny;
      this.connection = connection;
      this.madeUs = madeUs;
      sinceUs = madeUs;
    }
  }

  /** In the order in which they were made. */
  private final Map<HttpConnection, Link> links = new LinkedHashMap<>();

  /** No links any more, but each has its descriptor; in the order in which they were closed. */
  private final Set<Link> lingering = new LinkedHashSet<>();

  private final IntSupplier most;
  private final int mostOpen;
  private final LongSupplier clock;
  private final Consumer<Event> events;
  private final GracefulShutdown<Link> end;
  private long dueUs = Long.MAX_VALUE;

  /** {@code mostOpen}: so many descriptors, those of lingering ones included. */
  ClientConnections(
      IntSupplier most, int mostOpen, LongSupplier clock, Consumer<Event> events, Host host) {
    this.most = most;
    this.mostOpen = mostOpen;
    this.clock = clock;
    this.events = events;
    end = new GracefulShutdown<>(new Acts(host), CROSSING_US);
  }

  /**
   * A new connection; beyond what may be held one that has no query open makes room for it, or it
   * is refused itself.
   */
  void made(HttpConnection connection, BooleanSupplier holdsAny) {
    Link link = new Link(connection, clock.getAsLong(), holdsAny);
    link.edge =
        LingeringClose.install(
            connection,
            new LingeringClose.Watch() {
              @Override
              public void came() {
                ClientConnections.this.came(link);
              }

              @Override
              public void closing() {
                lingers(link);
              }

              @Override
              public void closed() {
                link.left.run();
              }

              @Override
              public long lingerMs() {
                return (Math.min(LINGER_US, dueUs - clock.getAsLong()) + 999) / 1000;
              }
            },
            clock);
    connection.closeHandler(v -> gone(link));
    if (links.size() >= most.getAsInt()) {
      link.crowded = !makesRoom();
      events.accept(new Event.ConditionCounted(Counter.CLIENTS_CROWDED_OUT));
    }
    links.put(connection, link);
    end.made(link.madeUs, link);
    cutLingering();
  }

  /**
   * Whom the loss of its connection costs least: one that never said a thing, else the one idle for
   * longest, else one half read.
   */
  private boolean makesRoom() {
    List<Link> some = new ArrayList<>(links.values());
    some.removeIf(link -> link.stage == Stage.OPEN || link.stage == Stage.READING);
    some.sort(
        Comparator.comparing(
                (Link link) -> link.stage == Stage.SILENT ? 0 : link.stage == Stage.IDLE ? 1 : 2)
            .thenComparingLong(link -> link.sinceUs));
    long now = clock.getAsLong();
    return some.stream()
        .anyMatch(
            link ->
                end.closeQuiet(now, link)
                    || (link.stage == Stage.HEAD && end.refuseUnfinished(link)));
  }

  /** Where descriptors are short those that linger go first. */
  private void cutLingering() {
    while (!lingering.isEmpty() && links.size() + lingering.size() >= mostOpen) {
      Link oldest = lingering.iterator().next();
      lingering.remove(oldest);
      oldest.edge.cut();
    }
  }

  private void came(Link link) {
    if (link.stage == Stage.SILENT || link.stage == Stage.IDLE) {
      to(link, Stage.HEAD);
      end.begun(link);
    }
  }

  private void lingers(Link link) {
    end.halfClosed(link);
    if (links.remove(link.connection) != null) {
      lingering.add(link);
      cutLingering();
    }
  }

  private void gone(Link link) {
    links.remove(link.connection);
    lingering.remove(link);
    end.gone(link);
  }

  /**
   * The head of a request was read; false: it came behind the last answer, and nothing of it is
   * begun.
   */
  boolean asked(HttpServerRequest request) {
    Link link = links.get(request.connection());
    if (link == null || link.closing) {
      return false;
    }
    if (link.request != null) { // it was read behind one whose answer was ended just now
      end.answered(link, false);
    }
    end.begun(link);
    link.request = request;
    long begunUs = link.stage == Stage.HEAD ? link.sinceUs : clock.getAsLong();
    to(link, Stage.READING);
    link.sinceUs = begunUs;
    return true;
  }

  /** The request was read whole. */
  Fate taken(HttpServerRequest request) {
    Link link = links.get(request.connection());
    if (link == null || link.closing || link.request != request) {
      return Fate.DROP;
    }
    to(link, Stage.OPEN);
    Fate fate = end.taken(link);
    return fate == Fate.SEND_ON && link.crowded ? Fate.REFUSE : fate;
  }

  /**
   * {@code left}: for the query that was taken last; it is told in the read that finds that the
   * client has gone.
   */
  void onLeft(HttpServerRequest request, Runnable left) {
    Link link = links.get(request.connection());
    if (link != null) {
      link.left = left;
    }
  }

  /** True where the answer that is written next ends its connection. */
  boolean isLast(HttpConnection connection) {
    Link link = links.get(connection);
    return end.isLeaving() || link == null || link.last || link.crowded;
  }

  /** The last answer is being written: what comes behind it is not begun. */
  void closing(HttpConnection connection) {
    Link link = links.get(connection);
    if (link != null) {
      link.closing = true;
    }
  }

  void answered(HttpServerRequest request) {
    Link link = links.get(request.connection());
    if (link != null && link.request == request) { // else the next one is being read already
      link.request = null;
      boolean begun =
          !link.closing
              && link.holdsAny.getAsBoolean(); // the next one, sent without waiting for this answer
      to(link, begun ? Stage.HEAD : Stage.IDLE);
      end.answered(link, link.closing);
      if (begun) {
        end.begun(link);
      }
    }
  }

  private void to(Link link, Stage stage) {
    link.stage = stage;
    link.sinceUs = clock.getAsLong();
    link.first &= stage == Stage.HEAD || stage == Stage.READING;
  }

  private long dueUs(Link link) {
    return switch (link.stage) {
      case SILENT -> link.madeUs + WHOLE_AFTER_US;
      case HEAD, READING -> (link.first ? link.madeUs : link.sinceUs) + WHOLE_AFTER_US;
      case OPEN -> Long.MAX_VALUE;
      case IDLE ->
          link.sinceUs + (4 * links.size() > most.getAsInt() ? IDLE_WHEN_MANY_US : IDLE_US);
    };
  }

  void closeOverdue() {
    long now = clock.getAsLong();
    for (Link link : List.copyOf(links.values())) {
      Counter why = link.stage == Stage.IDLE ? Counter.CLIENTS_IDLE : Counter.CLIENTS_SLOW;
      boolean stalled = link.edge.stalledUs() < now - WRITE_US;
      if (stalled) {
        link.edge.cut();
      }
      if (stalled
          || (now >= dueUs(link) && (end.closeQuiet(now, link) || end.refuseUnfinished(link)))) {
        events.accept(new Event.ConditionCounted(why));
      }
    }
  }

  // ---- the end

  void leave(boolean closeQuiet) {
    end.leave(clock.getAsLong(), closeQuiet);
  }

  void refuse(long due) {
    dueUs = due;
    end.refuse(clock.getAsLong(), due);
  }

  void passed() {
    end.passed(clock.getAsLong());
  }

  void listenerClosed() {
    end.listenerClosed(clock.getAsLong());
  }

  /** Too much came behind a request. */
  void flooded(HttpConnection connection) {
    Link link = links.get(connection);
    if (link != null) {
      link.last = true;
    }
  }

  private final class Acts implements GracefulShutdown.Acts<Link> {
    private final Host host;

    Acts(Host host) {
      this.host = host;
    }

    @Override
    public void readOnce(Link link) {
      link.edge.readOnce();
    }

    @Override
    public void halfClose(Link link) {
      link.connection.close();
    }

    @Override
    public void refuse(Link link) {
      if (link.request == null) {
        link.edge.refuse();
      } else {
        host.refuse(link.request);
      }
    }

    @Override
    public void closeListener() {
      host.closeListener();
    }

    @Override
    public void closed() {
      List.copyOf(lingering).forEach(link -> link.edge.cut());
      host.closed();
    }
  }
}

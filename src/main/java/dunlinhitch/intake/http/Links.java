package dunlinhitch.intake.http;

import dunlinhitch.core.Count;
import dunlinhitch.core.Event;
import io.vertx.core.http.HttpConnection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The connections that clients hold, and until when each may go on as it does. Guards against those that say nothing
 * or never come to an end: they cost descriptors and memory that clients with a query need.
 */
final class Links {
    /** A first request must be whole so soon after its connection was made, a later one so soon after its head. */
    private static final long WHOLE_AFTER_US = 2_500_000;
    private static final long IDLE_US = 5_000_000;
    /** Where many are held, an idle one goes sooner. */
    private static final long IDLE_WHEN_MANY_US = 2_000_000;

    private enum Stage { SILENT, READING, OPEN, IDLE }

    private static final class Link {
        private final long madeUs;
        private Stage stage = Stage.SILENT;
        private long sinceUs;
        private boolean first = true;

        Link(long madeUs) {
            this.madeUs = madeUs;
            sinceUs = madeUs;
        }
    }

    /** In the order in which they were made. */
    private final Map<HttpConnection, Link> links = new LinkedHashMap<>();
    private final IntSupplier most;
    private final LongSupplier clock;
    private final Consumer<Event> events;

    Links(IntSupplier most, LongSupplier clock, Consumer<Event> events) {
        this.most = most;
        this.clock = clock;
        this.events = events;
    }

    /** A new connection; beyond what may be held one that has no query open makes room for it, or it goes itself. */
    void made(HttpConnection connection) {
        if (links.size() >= most.getAsInt()) {
            HttpConnection out = least();
            close(out == null ? connection : out, Count.CLIENTS_CROWDED_OUT);
            if (out == null) {
                return;
            }
        }
        links.put(connection, new Link(clock.getAsLong()));
        connection.closeHandler(v -> links.remove(connection));
    }

    /** Whom the loss of its connection costs least: one that never said a thing, else the one idle for longest. */
    private HttpConnection least() {
        HttpConnection idle = null;
        long since = Long.MAX_VALUE;
        for (Map.Entry<HttpConnection, Link> entry : links.entrySet()) {
            Link link = entry.getValue();
            if (link.stage == Stage.SILENT) {
                return entry.getKey();
            }
            if (link.stage == Stage.IDLE && link.sinceUs < since) {
                idle = entry.getKey();
                since = link.sinceUs;
            }
        }
        return idle;
    }

    private void close(HttpConnection connection, Count why) {
        events.accept(new Event.Noted(why));
        links.remove(connection);
        connection.close();
    }

    /** The head of a request was read. */
    void asked(HttpConnection connection) {
        to(connection, Stage.READING);
    }

    /** The request was read whole. */
    void taken(HttpConnection connection) {
        to(connection, Stage.OPEN);
    }

    void answered(HttpConnection connection) {
        to(connection, Stage.IDLE);
    }

    private void to(HttpConnection connection, Stage stage) {
        Link link = links.get(connection);
        if (link != null) {
            link.stage = stage;
            link.sinceUs = clock.getAsLong();
            link.first &= stage == Stage.READING;
        }
    }

    private long dueUs(Link link) {
        return switch (link.stage) {
            case SILENT -> link.madeUs + WHOLE_AFTER_US;
            case READING -> (link.first ? link.madeUs : link.sinceUs) + WHOLE_AFTER_US;
            case OPEN -> Long.MAX_VALUE;
            case IDLE -> link.sinceUs + (4 * links.size() > most.getAsInt() ? IDLE_WHEN_MANY_US : IDLE_US);
        };
    }

    void closeOverdue() {
        long now = clock.getAsLong();
        for (Map.Entry<HttpConnection, Link> entry : List.copyOf(links.entrySet())) {
            if (now >= dueUs(entry.getValue())) {
                close(entry.getKey(), entry.getValue().stage == Stage.IDLE ? Count.CLIENTS_IDLE : Count.CLIENTS_SLOW);
            }
        }
    }

    void closeIdle() {
        List.copyOf(links.entrySet()).stream()
                .filter(entry -> entry.getValue().stage == Stage.SILENT || entry.getValue().stage == Stage.IDLE)
                .forEach(entry -> entry.getKey().close());
    }
}

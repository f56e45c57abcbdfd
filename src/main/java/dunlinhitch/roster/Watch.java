package dunlinhitch.roster;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import dunlinhitch.core.Count;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Follows discovery. While it is lost or silent the last list stands; the watch is opened again with growing pauses
 * and says which list it had, so that what was missed comes first. Where discovery moves, the old address is heard
 * until the new one has spoken.
 */
public final class Watch implements Source {
    /** An empty line comes every 2 s; what this misses counts as told all the same after 6 s. */
    private static final long SILENT_US = 3_000_000;
    private static final int MOST_LINE_BYTES = 4 << 20;
    private static final String LIST = "/registry/instances";
    /** Lists of another discovery are numbered anew: none of its own is known yet. */
    private static final long NONE_YET = -1;
    private final Vertx vertx;
    private final HttpClient client;
    private final RosterReader reader;
    private final Consumer<Event> events;
    private final LongSupplier clock;
    private final long knownGeneration;
    private final SplittableRandom random;
    private Session current;
    /** The one that is heard until the current one has spoken, or null. */
    private Session before;
    private boolean answered;

    public Watch(Vertx vertx, long seed, long knownGeneration, RosterReader reader, Consumer<Event> events, LongSupplier clock) {
        random = new SplittableRandom(seed);
        this.vertx = vertx;
        this.knownGeneration = knownGeneration;
        this.reader = reader;
        this.events = events;
        this.clock = clock;
        client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1000).setKeepAlive(false));
    }

    @Override
    public boolean answered() {
        return answered;
    }

    @Override
    public void start() {
        // begins with the address that it is told to follow
    }

    @Override
    public void follow(String host, int port) {
        if (before != null) {
            before.end();
        }
        before = current;
        current = new Session(host, port, before == null ? knownGeneration : NONE_YET);
        current.open();
    }

    @Override
    public void stop() {
        if (before != null) {
            before.end();
        }
        if (current != null) {
            current.end();
        }
    }

    /** Asks again from the list that is held; the watch that was open ends. */
    @Override
    public void resync() {
        if (current != null) {
            current.pauses.heard();
            current.again(clock.getAsLong());
        }
    }

    /** What is heard from one address. */
    private final class Session {
        private final String host;
        private final int port;
        private final Pauses pauses = new Pauses(random.nextLong());
        private long generation;
        private long round;
        private long silentDueUs;
        private boolean ended;
        private HttpClientRequest open;
        private Buffer line = Buffer.buffer();

        Session(String host, int port, long generation) {
            this.host = host;
            this.port = port;
            this.generation = generation;
        }

        void end() {
            ended = true;
            leave();
        }

        private void leave() {
            round++;
            if (open != null) {
                open.connection().close();
                open = null;
            }
        }

        void open() {
            long mine = ++round;
            line = Buffer.buffer();
            heard();
            watchSilence(mine);
            String uri = generation == NONE_YET ? LIST : LIST + "?follow=1&since=" + generation;
            client.request(HttpMethod.GET, port, host, uri).onComplete(made -> {
                if (mine != round) {
                    if (made.succeeded()) {
                        made.result().connection().close();
                    }
                } else if (made.failed()) {
                    lost(mine);
                } else {
                    open = made.result();
                    open.exceptionHandler(e -> lost(mine));
                    open.send().onSuccess(response -> listen(mine, response)).onFailure(e -> lost(mine));
                }
            });
        }

        private void listen(long mine, HttpClientResponse response) {
            if (response.statusCode() != 200) {
                lost(mine);
                return;
            }
            boolean list = generation == NONE_YET;
            response.handler(bytes -> {
                if (mine == round) {
                    read(mine, bytes);
                }
            });
            response.exceptionHandler(e -> lost(mine));
            response.endHandler(v -> {
                if (list && mine == round) { // the whole list, which need not end in a line end
                    take(line.toString());
                }
                if (list && mine == round && generation != NONE_YET) {
                    leave();
                    open(); // what comes after it
                } else {
                    lost(mine);
                }
            });
        }

        private void read(long mine, Buffer bytes) {
            heard();
            line.appendBuffer(bytes);
            if (generation != NONE_YET) {
                int from = 0;
                for (int i = line.length() - bytes.length(); i < line.length(); i++) {
                    if (line.getByte(i) == '\n') {
                        take(line.getString(from, i));
                        from = i + 1;
                    }
                }
                line = line.getBuffer(from, line.length());
            }
            if (line.length() > MOST_LINE_BYTES) {
                lost(mine);
            }
        }

        private void take(String text) {
            if (text.isBlank()) {
                return;
            }
            try {
                JsonObject list = Json.parse(text).asObject();
                Event.RosterNews news = reader.read(list, false);
                generation = list.getLong("generation", Math.max(0, generation));
                answered = true;
                pauses.heard();
                events.accept(news);
                events.accept(new Event.RosterNumbered(generation));
            } catch (RuntimeException e) {
                events.accept(new Event.Noted(Count.BAD_ROSTER_ENTRIES)); // a line that is no list changes nothing
                return;
            }
            if (this == current && before != null) {
                before.end(); // from here on the new address speaks alone
                before = null;
            }
        }

        private void heard() {
            silentDueUs = clock.getAsLong() + SILENT_US;
        }

        /** A machine that vanished leaves the watch open for ever: silence ends it. */
        private void watchSilence(long mine) {
            vertx.setTimer(MicroClock.timerMs(clock.getAsLong(), silentDueUs), t -> {
                if (mine != round) {
                    return;
                }
                if (clock.getAsLong() >= silentDueUs) {
                    lost(mine);
                } else {
                    watchSilence(mine);
                }
            });
        }

        private void lost(long mine) {
            if (mine != round || ended) {
                return;
            }
            events.accept(new Event.Noted(Count.ROSTER_LOST));
            if (this != current) { // discovery has moved from here
                before = null;
                end();
                return;
            }
            again(clock.getAsLong() + pauses.nextUs());
        }

        private void again(long dueUs) {
            leave();
            long mine = round;
            vertx.setTimer(MicroClock.timerMs(clock.getAsLong(), dueUs), t -> {
                if (mine == round && !ended) {
                    open();
                }
            });
        }
    }
}

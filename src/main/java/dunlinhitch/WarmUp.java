package dunlinhitch;

import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryAsk;
import dunlinhitch.core.Reducer;
import dunlinhitch.core.StoreEntry;
import dunlinhitch.decide.Routing.ListKind;
import dunlinhitch.decide.Routing.Outcome;
import dunlinhitch.decide.Routing.ServerState;
import dunlinhitch.decide.Routing.Settings;
import dunlinhitch.intake.BadQueryException;
import dunlinhitch.intake.QueryReader;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import java.util.ArrayList;
import java.util.List;

/** Loads and compiles the hot paths before the broker says that it is ready: the first queries are in time too. */
final class WarmUp {
    private static final int ROUNDS = 200;
    private static final String ASK = "GET /health/live HTTP/1.1\r\nHost: self\r\n\r\n";
    private static final long STEP_US = 20_000;

    private WarmUp() {
    }

    /** Plays made-up queries through a reducer of its own, on a made clock; nothing of it leaves this method. */
    static void run(Settings settings) {
        long now = 1_000_000_000L;
        Reducer reducer = new Reducer(settings, 1, now);
        QueryReader reader = new QueryReader(settings);
        List<StoreEntry> stores = new ArrayList<>();
        for (int cell = 0; cell < settings.layout().cells(); cell++) {
            for (int i = 0; i < 2; i++) {
                stores.add(new StoreEntry("warm-" + cell + "-" + i, "127.0.0.1", 1, 0, cell, ServerState.READY, 1, 0,
                        StoreEntry.StoreWire.FRAMES));
            }
        }
        List<Event> events = new ArrayList<>(List.of(new Event.RosterNews(ListKind.FULL, stores)));
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1.0}],\"predicate\":\"warm\"}";
        for (int i = 0; i < ROUNDS; i++) {
            String id = "warm-" + i;
            try {
                QueryAsk ask = reader.read(i % settings.classes().size(),
                        name -> name.equals(QueryReader.EXPIRES_IN) ? "1.000" : id, body, now);
                events.add(new Event.QueryTaken(i, ask));
            } catch (BadQueryException e) {
                throw new IllegalStateException(e); // the body above is a query
            }
            List<Effect> effects = reducer.turn(now, events);
            events = new ArrayList<>();
            for (Effect effect : effects) {
                if (effect instanceof Effect.SendCall call) {
                    for (Effect.PartSend part : call.parts()) {
                        events.add(new Event.AttemptOver(part.attempt(), Outcome.OK, new float[0], "warm"));
                    }
                }
            }
            now += STEP_US;
        }
    }

    /** A connection of its own to the listener, asked so often that both ends of the network code are compiled. */
    static Future<Void> connect(Vertx vertx, String host, int port) {
        NetClient client = vertx.createNetClient();
        Promise<Void> done = Promise.promise();
        client.connect(port, host).onFailure(e -> done.complete()).onSuccess(socket -> {
            socket.closeHandler(v -> done.tryComplete());
            int[] asked = {0};
            socket.handler(bytes -> {
                if (++asked[0] < ROUNDS) {
                    socket.write(ASK);
                } else {
                    socket.close();
                }
            });
            socket.write(ASK);
        });
        return done.future().compose(v -> client.close());
    }
}

package dunlinhitch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.standin.Client;
import dunlinhitch.standin.FlightStore;
import dunlinhitch.standin.FrameStore;
import dunlinhitch.standin.Stage;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What operators ask and are told, over loopback. */
class AdminTest {
    private final Stage stage;

    AdminTest() throws Exception {
        stage = new Stage();
    }

    @AfterEach
    void close() throws Exception {
        stage.close();
    }

    /** One call on a connection of its own; the whole answer. */
    private String call(String line) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", stage.adminPort)) {
            socket.getOutputStream().write((line + " HTTP/1.1\r\nHost: ops\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static int status(String answer) {
        return Integer.parseInt(answer.substring(9, 12));
    }

    private long figure(String name) throws IOException {
        return call("GET /metrics").lines().filter(line -> line.startsWith("router_" + name + " "))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1))).findFirst().orElseThrow();
    }

    /** Both wires end in the same figures: they are the reducer's, not a front's. */
    @Test
    void requestsOfBothWiresEndInOneFigureEach() throws Exception {
        FrameStore frames = new FrameStore(stage.vertx, "f");
        FlightStore flight = new FlightStore("g");
        stage.list(frames, flight);
        stage.start(Stage.settings(100), null);
        Client http = Client.http(stage.httpPort);
        Client arrow = Client.flight(stage.broker.flightPort());
        for (int i = 0; i < 4; i++) {
            assertEquals("whole", (i % 2 == 0 ? http : arrow).ask("free-search",
                    Map.of("X-Trace-Id", "q" + i, "X-Expires-In", "1.0"), Client.body(0, 1)).get(5, TimeUnit.SECONDS).end());
        }
        assertEquals("refused", http.ask("slot-booking", Map.of("X-Trace-Id", "late", "Idempotency-Key", "k",
                "X-Expires-In", "0"), Client.body(0)).get(5, TimeUnit.SECONDS).end());
        String free = "{category=\"free-search\"}";
        assertEquals(4, figure("passed" + free));
        assertEquals(0, figure("dropped" + free));
        assertEquals(1, figure("dropped{category=\"slot-booking\"}"));
        assertEquals(0, figure("bad_gateway" + free));
        assertEquals(8, figure("upstream_tries"));
        assertEquals(0, figure("in_progress"));
        assertEquals(2, figure("known_calendar_stores"));
        assertEquals(0, figure("skipped_calendar_stores"));
        arrow.close();
        flight.close();
    }

    @Test
    void wrongCallsAreOwedANo() throws Exception {
        stage.start(Stage.settings(100), null);
        assertEquals(404, status(call("GET /nothing")));
        assertEquals(405, status(call("POST /ready")));
        assertEquals(405, status(call("DELETE /metrics")));
        String answer = call("GET /ready"); // the watch was answered long before the broker listened for clients
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
    }

    /** More callers than may be held say nothing or half a call; the next one is answered all the same. */
    @Test
    void silentAndHalfCallersHoldUpNobody() throws Exception {
        stage.start(Stage.settings(100), null);
        List<Socket> quiet = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            Socket socket = new Socket("127.0.0.1", stage.adminPort);
            quiet.add(socket);
            if (i % 2 == 0) {
                socket.getOutputStream().write("POST /calendar-stores/dis".getBytes(StandardCharsets.UTF_8));
            }
        }
        assertEquals(200, status(call("GET /metrics")));
        for (Socket socket : quiet) {
            socket.close();
        }
    }
}

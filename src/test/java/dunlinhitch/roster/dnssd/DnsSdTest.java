package dunlinhitch.roster.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.core.Count;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.membership.StoreEntry;
import dunlinhitch.membership.StoreEntry.StoreWire;
import dunlinhitch.decide.Routing.ListKind;
import dunlinhitch.decide.Routing.ServerState;
import dunlinhitch.roster.RosterReader;
import dunlinhitch.standin.DnsServer;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.dns.DnsClientOptions;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** DNS-SD records as the roster, from a stand-in server. */
class DnsSdTest {
    private static final String SERVICE = "_calendar-store._tcp.local.";

    @Test
    void recordsBecomeRosterNewsForAsLongAsTheyLast() throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        DnsServer server = new DnsServer(vertx);
        server.ptr(SERVICE, 60, "one." + SERVICE, "two." + SERVICE, "bad." + SERVICE);
        server.instance("one." + SERVICE, 1, 7001, "id=s-1", "cell=3", "zone=b", "state=ready", "protocol=flight",
                "start=5");
        server.instance("two." + SERVICE, 60, 7002, "id=s-2", "cell=0", "zone=a", "state=draining");
        server.instance("bad." + SERVICE, 60, 7003, "id=s-3", "zone=a");
        BlockingQueue<Event> events = new LinkedBlockingQueue<>();
        MicroClock clock = new MicroClock();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(v -> new DnsSd(vertx, context, "127.0.0.1", server.port(), SERVICE,
                new RosterReader(List.of("a", "b"), e -> { }), events::add, clock).start());

        assertEquals(new Event.Noted(Count.BAD_ROSTER_ENTRIES), events.poll(5, TimeUnit.SECONDS));
        Event.RosterNews news = (Event.RosterNews) events.poll(5, TimeUnit.SECONDS);
        assertEquals(ListKind.FULL, news.kind());
        assertEquals(Set.of(
                new StoreEntry("s-1", "127.0.0.1", 7001, 1, 3, ServerState.READY, 1, 5_000, StoreWire.FLIGHT),
                new StoreEntry("s-2", "127.0.0.1", 7002, 0, 0, ServerState.DRAINING, 1, 0, StoreWire.FRAMES)),
                news.stores().stream().collect(Collectors.toSet()));

        // the shortest TTL, a second, is over before the change is seen; what is absent then is gone
        server.ptr(SERVICE, 1, "two." + SERVICE);
        long from = System.nanoTime();
        news = (Event.RosterNews) events.poll(5, TimeUnit.SECONDS);
        assertEquals(List.of("s-2"), news.stores().stream().map(StoreEntry::name).toList());
        assertTrue(System.nanoTime() - from > 500_000_000L, "asked again before the records had run out");

        // a server that says nothing changes nothing
        server.silent = true;
        assertEquals(new Event.Noted(Count.ROSTER_LOST), events.poll(5, TimeUnit.SECONDS));
        server.silent = false;
        server.asked.clear();
        assertTrue(server.asked.poll(5, TimeUnit.SECONDS) != null, "it asks again");
        vertx.close();
    }

    /** Why PTR is asked beneath Vert.x's DnsClient: of an answer with two records it gives one. */
    @Test
    void theDnsClientGivesOnePtrRecordOfTwo() throws Exception {
        Vertx vertx = Vertx.vertx();
        DnsServer server = new DnsServer(vertx);
        server.ptr(SERVICE, 60, "one." + SERVICE, "two." + SERVICE);
        String name = vertx.createDnsClient(new DnsClientOptions().setHost("127.0.0.1").setPort(server.port()))
                .resolvePTR(SERVICE).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        assertEquals("one." + SERVICE, name.endsWith(".") ? name : name + ".");
        vertx.close();
    }
}

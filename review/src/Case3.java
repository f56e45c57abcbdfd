import dunlinhitch.experiments.dns.FakeNameServer;
import dunlinhitch.experiments.dns.Zone;
import io.vertx.core.Vertx;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.xbill.DNS.Record;

/** DNS-SD with push notifications: a store's record is withdrawn while the push server is away for two seconds. */
final class Case3 {
  private static final String SERVICE = "_calendar._tcp.rooms.example.org.";
  private static final int TTL_S = 120;
  private static final long OUTAGE_MS = 2_000;
  /** What a broken watch misses counts as told 6 s later; then come the grace of a drain and 50 ms. */
  private static final long BOUND_MS = 6_000 + 250 + 50;
  private static final long WATCHED_MS = 40_000;

  public static void main(String[] arguments) throws Exception {
    Rig rig = new Rig(arguments[0]);
    try {
      run(rig);
    } catch (Throwable failure) {
      rig.fail(failure);
    }
  }

  private static void run(Rig rig) throws Exception {
    Vertx vertx = Vertx.vertx();
    Zone zone = new Zone("rooms.example.org.");
    FakeNameServer server = new FakeNameServer(vertx, zone);
    Relay push = rig.owned(new Relay(server.startPush(rig.temporary)));
    List<Rig.FrameStore> stores = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Rig.FrameStore store = rig.new FrameStore("s-" + i);
      store.delayMs = 20;
      stores.add(store);
      zone.add(
          Zone.store(SERVICE, "Hall" + i, "127.0.0.1", store.port(), TTL_S, "id=s-" + i, "cell=" + i % 2, "zone=hall", "start=1")
              .toArray(new Record[0]));
    }
    Path settings = rig.temporary.resolve("dunlinhitch.conf");
    Files.writeString(
        settings,
        "discovery off\n[dns_sd rooms]\nserver 127.0.0.1:" + server.port() + "\nservice _calendar._tcp.rooms.example.org\npush localhost:"
            + push.port() + "\npush_trust " + server.trust() + "\n");
    Rig.extra = " --conf " + settings;
    Rig.Broker broker =
        rig.new Broker("n0", Rig.freePort(), Rig.settings(Rig.CLASSES, Rig.DOMAIN, Rig.LIMITS), "{}", Path.of("").toAbsolutePath());
    Map<Integer, Integer> answers = new ConcurrentSkipListMap<>();
    for (int i = 0; i < 4; i++) {
      int client = i;
      Rig.daemon(() -> send(broker, client, answers));
    }
    awaitSubscriptions(rig, server, 1);
    Thread.sleep(3_000);

    if (rig.trouble) {
      push.down();
      rig.say("the push server is away: its connections are reset, new ones are refused");
    }
    Thread.sleep(OUTAGE_MS / 2);
    long withdrawnNs = System.nanoTime();
    zone.remove(Zone.pointer(SERVICE, "Hall0", TTL_S));
    rig.say("the record of s-0 is withdrawn");
    Thread.sleep(OUTAGE_MS / 2);
    push.up();
    awaitSubscriptions(rig, server, 1);
    rig.say("push sessions: " + server.sessions() + ", subscriptions: " + server.subscriptions());
    Thread.sleep(WATCHED_MS - (System.nanoTime() - withdrawnNs) / 1_000_000);

    int late = 0;
    long lastMs = 0;
    for (Rig.Received part : stores.get(0).received) {
      long afterMs = (part.atNs() - withdrawnNs) / 1_000_000;
      if (afterMs > BOUND_MS) {
        late++;
        lastMs = afterMs;
      }
    }
    for (Rig.FrameStore store : stores) {
      int[] bySecond = new int[(int) (WATCHED_MS / 5_000) + 1];
      for (Rig.Received part : store.received) {
        long afterMs = (part.atNs() - withdrawnNs) / 1_000_000;
        if (afterMs >= 0 && afterMs < WATCHED_MS) {
          bySecond[(int) (afterMs / 5_000)]++;
        }
      }
      rig.say("parts that reached " + store.name + " in each 5 s after the withdrawal: " + java.util.Arrays.toString(bySecond));
    }
    rig.say("answers by status: " + answers);
    rig.say("counters:\n" + broker.stats());
    vertx.close();
    rig.end(
        late > 0,
        late + " parts reached the withdrawn store later than " + BOUND_MS + " ms after the withdrawal" + (late > 0 ? ", the last after " + lastMs + " ms" : ""));
  }

  private static void send(Rig.Broker broker, int client, Map<Integer, Integer> answers) throws Exception {
    try (Rig.Client connection = new Rig.Client(broker.port)) {
      for (int i = 0; ; i++) {
        String id = "q" + client + "-" + i;
        connection.query(
            "slot-booking", id, "3.0", "key-" + id, ("{\"ranges\":[{\"range\":" + 2 * (i % 4) + ",\"portion\":1}],\"predicate\":\"altos\"}").getBytes(StandardCharsets.UTF_8));
        answers.merge(connection.read(4_000).status(), 1, Integer::sum);
        Thread.sleep(100);
      }
    }
  }

  private static void awaitSubscriptions(Rig rig, FakeNameServer server, int sessions) throws Exception {
    long endNs = System.nanoTime() + 20_000_000_000L;
    while (server.sessions() < sessions || server.subscriptions() < 5) {
      if (System.nanoTime() > endNs) {
        throw new IOException("no push session");
      }
      Thread.sleep(20);
    }
  }

  /** Passes connections on to a port, and resets and refuses them while it is down. */
  private static final class Relay implements Closeable {
    private final int target;
    private final int port;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private volatile ServerSocket listener;

    Relay(int target) throws IOException {
      this.target = target;
      listener = new ServerSocket(0, 50, Rig.loopback());
      port = listener.getLocalPort();
      accept(listener);
    }

    int port() {
      return port;
    }

    void up() throws IOException {
      if (listener.isClosed()) {
        listener = new ServerSocket(port, 50, Rig.loopback());
        accept(listener);
      }
    }

    void down() throws IOException {
      listener.close();
      for (Socket socket : open) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
      open.clear();
    }

    private void accept(ServerSocket from) {
      Rig.daemon(() -> {
        while (true) {
          Socket client = from.accept();
          Socket server = new Socket(Rig.loopback(), target);
          open.add(client);
          open.add(server);
          Rig.daemon(() -> copy(client, server));
          Rig.daemon(() -> copy(server, client));
        }
      });
    }

    private static void copy(Socket from, Socket to) throws IOException {
      try (from; to) {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        byte[] bytes = new byte[8192];
        for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
          out.write(bytes, 0, read);
        }
      }
    }

    @Override
    public void close() throws IOException {
      down();
    }
  }
}

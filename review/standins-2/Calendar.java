import dunlinhitch.experiments.dns.FakeNameServer;
import dunlinhitch.experiments.dns.Zone;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.xbill.DNS.Record;

/**
 * What the cases of stores that announce themselves share: the project's own name server, stores in
 * its zone, a steady load of queries, and the check that a withdrawn store gets nothing new.
 */
final class Calendar implements AutoCloseable {
  static final String SERVICE = "_calendar._tcp.rooms.example.org.";
  static final long TTL_S = 120;
  /** What discovery has to tell counts as told after this, whether it arrived or not. */
  static final long TOLD_MS = 6_000;
  /** The grace of a drain, and 50 ms more, as for every limit on sockets. */
  static final long GRACE_MS = 250 + 50;

  final Vertx vertx = Vertx.vertx();
  final Zone zone = new Zone("rooms.example.org.");
  final FakeNameServer names;
  final List<Store> stores = new ArrayList<>();
  final AtomicInteger served = new AtomicInteger();
  private final AtomicBoolean loading = new AtomicBoolean(true);
  private final Rig rig;

  Calendar(Rig rig, int storeCount) throws Exception {
    this.rig = rig;
    names = new FakeNameServer(vertx, zone);
    for (int i = 0; i < storeCount; i++) {
      Store store = new Store("s-" + i);
      stores.add(store);
      List<Record> records =
          Zone.store(SERVICE, store.name, "127.0.0.1", store.port(), TTL_S, "id=" + store.name, "cell=" + i % 2,
              "zone=" + (i % 4 < 2 ? "abdali-room" : "tlaa-room"), "start=1700000000000");
      zone.change(List.of(), records);
    }
  }

  private static Record pointer(Store store) {
    return Zone.pointer(SERVICE, store.name, TTL_S);
  }

  /** Withdraws a store's PTR record and returns when. */
  long withdraw(Store store) {
    zone.remove(pointer(store));
    long atMs = Rig.nowMs();
    rig.note("the PTR record of " + store.name + " is withdrawn, serial " + zone.serial());
    return atMs;
  }

  void announce(Store store) {
    zone.add(pointer(store));
    rig.note("the PTR record of " + store.name + " is back, serial " + zone.serial());
  }

  /** Starts clients that ask about 33 times a second, each query for two shards, one of each cell. */
  void startLoad() {
    for (int i = 0; i < 3; i++) {
      int number = i;
      Thread thread = new Thread(() -> load(number), "client");
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void load(int number) {
    int round = number;
    while (loading.get()) {
      round++;
      String id = rig.nextId();
      int shard = 2 * (round % 4);
      try (Rig.Client client = new Rig.Client(rig.listen)) {
        Rig.Answer answer =
            client.exchange(Rig.query(round % 2 == 0 ? "free-search" : "slot-booking", id, 3, shard, shard + 1), 5000);
        served.addAndGet(answer.status() == 200 ? 1 : 0);
        rig.note("query " + id + " got " + answer.status());
        Thread.sleep(40);
      } catch (Exception e) {
        rig.note("query " + id + " had no answer: " + e);
      }
    }
  }

  /** Counts the parts that reached a store in this time, and notes them. */
  int partsBetween(Store store, long fromMs, long toMs) {
    int count = 0;
    for (Store.Part part : store.parts) {
      if (part.atMs() > fromMs && part.atMs() <= toMs) {
        count++;
        if (count <= 20) {
          rig.note(part.atMs() + " part " + part.id() + " reached " + store.name);
        }
      }
    }
    rig.note(store.name + " was sent " + count + " parts from " + fromMs + " to " + toMs);
    return count;
  }

  @Override
  public void close() throws Exception {
    loading.set(false);
    names.close();
    for (Store store : stores) {
      rig.noteParts(store.name, store.parts);
      store.close();
    }
    vertx.close();
  }
}

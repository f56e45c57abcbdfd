import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients open connections to the Arrow Flight front by the hundred and say nothing. */
final class FlightCrowd {
  private static final int SILENT_CONNECTIONS = 1000;
  private static final int USUAL_CLIENTS = 4;
  private static final long BEFORE_MS = 4_000;
  private static final long QUIET_MS = 3_000;
  private static final long CROWD_MS = 10_000;
  private static final long AFTER_MS = 6_000;
  private static final double EXPIRES_S = 2;
  /** The time of a request, half a second in which an answer only earns nothing, and 50 ms for sockets. */
  private static final int LOST_AFTER_MS = 2_000 + 500 + 50;

  private final Rig rig;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean asking;

  private FlightCrowd(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) {
    Rig.main(args, FlightCrowd::run);
  }

  private static int run(Rig rig) throws Exception {
    List<Store> stores = new ArrayList<>();
    List<Socket> silent = new ArrayList<>();
    try (Agent agent = new Agent()) {
      for (int i = 0; i < 6; i++) {
        Store store = new Store("s-" + i);
        stores.add(store);
        agent.put(store.name, Agent.entry(store.name, store.port(), i % 4 < 2 ? "abdali-room" : "tlaa-room", i % 2, "ready"));
      }
      int port = Rig.freePort();
      rig.startBroker(
          Rig.settings(3_000_000, 4_000_000), agent.port(), "discovery on\n[flight]\nlisten 127.0.0.1:" + port + "\n");
      FlightCrowd crowd = new FlightCrowd(rig);
      List<Thread> usual = crowd.startUsualClients();
      Thread.sleep(BEFORE_MS);
      crowd.end(usual);
      int answeredBefore = crowd.answered.get();
      rig.note("a quiet time");
      Thread.sleep(QUIET_MS);
      if (Rig.TROUBLE) {
        rig.note("silent clients connect to the Flight front");
        for (int i = 0; i < SILENT_CONNECTIONS; i++) {
          Socket socket = new Socket();
          socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
          silent.add(socket);
        }
        rig.note(silent.size() + " silent connections are open");
      }
      usual = crowd.startUsualClients();
      Thread.sleep(CROWD_MS);
      rig.note("silent connections that the broker has closed: " + silent.stream().filter(FlightCrowd::isClosed).count());
      for (Socket socket : silent) {
        socket.close();
      }
      rig.note("the silent clients are gone");
      Thread.sleep(AFTER_MS);
      crowd.end(usual);
      rig.note("usual queries over HTTP: answered " + crowd.answered + " (" + answeredBefore + " before), closed unread "
          + crowd.closed + ", lost " + crowd.lost);
      for (Store store : stores) {
        rig.noteParts(store.name, store.parts);
        store.close();
      }
      return answeredBefore < 50 ? Rig.NOT_RUN : crowd.lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }

  private List<Thread> startUsualClients() {
    asking = true;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      Thread thread = new Thread(this::askAsUsual, "usual-client");
      thread.setDaemon(true);
      thread.start();
      clients.add(thread);
    }
    return clients;
  }

  private void end(List<Thread> clients) throws InterruptedException {
    asking = false;
    for (Thread client : clients) {
      client.join(LOST_AFTER_MS + 1000);
    }
  }

  private static boolean isClosed(Socket socket) {
    try {
      socket.setSoTimeout(1);
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  /** Asks over HTTP, on a new connection each time. A connection that is shut unread is no loss here. */
  private void askAsUsual() {
    for (int i = 0; asking; i++) {
      String id = rig.nextId();
      String request = Rig.query(i % 2 == 0 ? "free-search" : "slot-booking", id, EXPIRES_S, i % 8, (i + 1) % 8);
      try (Rig.Client client = new Rig.Client(rig.listen)) {
        Rig.Answer answer = client.exchange(request, LOST_AFTER_MS);
        (answer.status() == 0 ? closed : answered).incrementAndGet();
        rig.note("query " + id + " got " + answer.status());
      } catch (SocketTimeoutException e) {
        lost.incrementAndGet();
        rig.note("LOST: query " + id + " had neither an answer nor a close " + LOST_AFTER_MS + " ms after it was sent");
      } catch (IOException e) {
        closed.incrementAndGet();
        rig.note("query " + id + " was closed on: " + e);
      }
      try {
        Thread.sleep(60);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}

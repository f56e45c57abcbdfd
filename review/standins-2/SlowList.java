import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The lists of the name server come late, while stores withdraw one after another. */
final class SlowList {
  private static final int PTR = 12;
  private static final long LATE_MS = 400;
  private static final long APART_MS = 300;
  private static final int ROUNDS = 4;

  /** A UDP relay on loopback that delays the answers to questions for PTR records. */
  private static final class UdpRelay implements AutoCloseable {
    private final DatagramSocket front;
    private final InetSocketAddress server;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    volatile boolean late;

    UdpRelay(int serverPort) throws Exception {
      front = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
      server = new InetSocketAddress("127.0.0.1", serverPort);
      start(this::relay);
    }

    private static void start(Runnable task) {
      Thread thread = new Thread(task, "udp-relay");
      thread.setDaemon(true);
      thread.start();
    }

    private void relay() {
      while (!front.isClosed()) {
        try {
          DatagramPacket query = new DatagramPacket(new byte[2048], 2048);
          front.receive(query);
          start(() -> exchange(query));
        } catch (Exception e) {
          return;
        }
      }
    }

    private void exchange(DatagramPacket query) {
      try (DatagramSocket back = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
        back.setSoTimeout(1000);
        back.send(new DatagramPacket(query.getData(), query.getLength(), server));
        DatagramPacket answer = new DatagramPacket(new byte[4096], 4096);
        back.receive(answer);
        DatagramPacket passed =
            new DatagramPacket(answer.getData(), answer.getLength(), query.getSocketAddress());
        long delayMs = late && type(query.getData()) == PTR ? LATE_MS : 0;
        timer.schedule(
            () -> {
              front.send(passed);
              return null;
            },
            delayMs,
            TimeUnit.MILLISECONDS);
      } catch (Exception e) {
        // the name server has closed
      }
    }

    /** The type of the first question. */
    private static int type(byte[] message) {
      int at = 12;
      while (message[at] != 0) {
        at += 1 + message[at];
      }
      return (message[at + 1] & 0xff) << 8 | message[at + 2] & 0xff;
    }

    int port() {
      return front.getLocalPort();
    }

    @Override
    public void close() {
      front.close();
      timer.shutdownNow();
    }
  }

  public static void main(String[] args) throws Exception {
    Rig.main(args, SlowList::run);
  }

  private static int run(Rig rig) throws Exception {
    try (Calendar calendar = new Calendar(rig, 6);
        UdpRelay relay = new UdpRelay(calendar.names.port())) {
      rig.startBroker(
          Rig.settings(3_000_000, 4_000_000),
          1,
          "discovery off\n[dns_sd rooms]\nserver 127.0.0.1:" + relay.port() + "\nservice " + Calendar.SERVICE
              + "\nsoa_every 250ms\n");
      calendar.startLoad();
      Thread.sleep(3000);
      relay.late = Rig.TROUBLE;
      rig.note(Rig.TROUBLE ? "lists come " + LATE_MS + " ms late" : "lists come at once");
      int late = 0;
      for (int round = 0; round < ROUNDS; round++) {
        Store first = calendar.stores.get(0);
        Store second = calendar.stores.get(3);
        calendar.withdraw(first);
        Thread.sleep(APART_MS);
        long withdrawnMs = calendar.withdraw(second);
        long fromMs = withdrawnMs + Calendar.TOLD_MS + Calendar.GRACE_MS;
        Thread.sleep(10_000);
        late += calendar.partsBetween(first, fromMs, Rig.nowMs());
        late += calendar.partsBetween(second, fromMs, Rig.nowMs());
        calendar.announce(first);
        calendar.announce(second);
        Thread.sleep(1500 + 70L * round);
      }
      rig.note("served " + calendar.served.get());
      return calendar.served.get() < 100 ? Rig.NOT_RUN : late > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }
}

package dunlinhitch.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.frontend.GracefulShutdown.Disposition;
import dunlinhitch.frontend.GracefulShutdown.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * The graceful shutdown with simulated clients, sockets and listener, in random orders of events.
 */
class GracefulShutdownTest {
  private static final long REQUEST_TRANSIT_US = 10;
  private static final long DEADLINE_US = 60;

  /** How much of a request is in the socket of a connection, or was read from it. */
  private enum Bytes {
    NONE,
    INCOMPLETE,
    COMPLETE
  }

  private static final class Client {
    private Bytes unread = Bytes.NONE;
    private Bytes read = Bytes.NONE;
    private boolean forwarded;
    private boolean announcedClose;
    private boolean halfClosed;
  }

  /** A frontend that checks each action of the state machine. */
  private static final class Frontend implements GracefulShutdown.Actions<Client> {
    private final GracefulShutdown<Client> shutdown =
        new GracefulShutdown<>(this, REQUEST_TRANSIT_US);
    private final List<Client> clients = new ArrayList<>();
    private long nowUs;
    private boolean listening = true;
    private boolean listenerCloseRequested;
    private boolean complete;
    private int refusals;

    Client connect() {
      Client client = new Client();
      clients.add(client);
      shutdown.accepted(nowUs, client);
      return client;
    }

    void send(Client client, Bytes bytes) {
      client.unread = bytes;
    }

    void read(Client client) {
      Bytes bytes = client.unread;
      client.unread = Bytes.NONE;
      if (bytes == Bytes.NONE || client.halfClosed) {
        return; // bytes after the half-close are discarded
      }
      shutdown.requestStarted(client);
      client.read = bytes;
      if (bytes == Bytes.COMPLETE) {
        Disposition disposition = shutdown.requestReceived(client);
        assertTrue(
            disposition == Disposition.REFUSE || disposition == Disposition.FORWARD,
            "request was dropped although it was read before the half-close");
        assertEquals(shutdown.stage() == Stage.REFUSING, disposition == Disposition.REFUSE);
        client.forwarded = disposition == Disposition.FORWARD;
        if (disposition == Disposition.REFUSE) {
          refusals++;
          respond(client, true);
        }
      }
    }

    void respond(Client client, boolean announcedClose) {
      client.read = Bytes.NONE;
      client.forwarded = false;
      client.announcedClose = announcedClose;
      shutdown.responseWritten(client, announcedClose);
    }

    void disconnect(Client client) {
      clients.remove(client);
      shutdown.disconnected(client);
    }

    @Override
    public void readOnce(Client client) {
      read(client);
    }

    @Override
    public void halfClose(Client client) {
      assertFalse(client.halfClosed, "connection was half-closed twice");
      assertEquals(
          Bytes.NONE, client.read, "half-closed before the response to a request that was read");
      assertTrue(
          client.announcedClose || client.unread == Bytes.NONE, "half-closed with unread bytes");
      client.halfClosed = true;
    }

    @Override
    public void refuse(Client client) {
      assertEquals(Bytes.INCOMPLETE, client.read);
      refusals++;
      respond(client, true);
    }

    @Override
    public void closeListener() {
      listenerCloseRequested = true;
    }

    @Override
    public void closed() {
      assertFalse(complete, "shutdown was completed twice");
      complete = true;
      assertTrue(
          nowUs >= DEADLINE_US || (clients.isEmpty() && !listening),
          "shutdown was completed before its deadline with open connections");
      assertTrue(
          clients.stream().noneMatch(client -> client.read != Bytes.NONE && !client.forwarded),
          "an incomplete request was not answered");
    }
  }

  /**
   * In any order of events from clients, the event loop, the shutdown and the clock, the checks of
   * the simulated frontend pass and the shutdown is complete by its deadline.
   */
  @Test
  void randomOrdersOfEventsKeepTheInvariants() {
    int refusals = 0;
    for (int seed = 0; seed < 30_000; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Frontend frontend = new Frontend();
      for (int step = 0; step < 40 && !frontend.complete; step++) {
        Client client =
            frontend.clients.isEmpty()
                ? null
                : frontend.clients.get(random.nextInt(frontend.clients.size()));
        step(frontend, client, random);
      }
      finish(frontend);
      assertTrue(frontend.complete, "shutdown is not complete after its deadline");
      refusals += frontend.refusals;
    }
    assertTrue(refusals > 1_000, "too few refusals in the random runs: " + refusals);
  }

  /** Executes one random event; {@code client} is a connected client, or null. */
  private static void step(Frontend frontend, Client client, SplittableRandom random) {
    switch (random.nextInt(10)) {
      case 0 -> connectStep(frontend);
      case 1, 2 -> sendStep(frontend, client, random);
      case 3, 4 -> {
        if (client != null) {
          frontend.read(client);
        }
      }
      case 5 -> respondStep(frontend, client, random);
      case 6 -> disconnectStep(frontend, client, random);
      case 7 -> frontend.shutdown.drain(frontend.nowUs, random.nextBoolean());
      case 8 -> refuseStep(frontend);
      default -> timeStep(frontend, random);
    }
  }

  private static void connectStep(Frontend frontend) {
    if (frontend.listening && frontend.clients.size() < 3) {
      frontend.connect();
    }
  }

  private static void respondStep(Frontend frontend, Client client, SplittableRandom random) {
    if (client != null && client.forwarded) {
      frontend.respond(client, frontend.shutdown.isDraining() || random.nextInt(3) == 0);
    }
  }

  private static void sendStep(Frontend frontend, Client client, SplittableRandom random) {
    if (client != null && client.read != Bytes.COMPLETE && client.unread == Bytes.NONE) {
      boolean complete = client.read == Bytes.INCOMPLETE || random.nextBoolean();
      frontend.send(client, complete ? Bytes.COMPLETE : Bytes.INCOMPLETE);
    }
  }

  private static void disconnectStep(Frontend frontend, Client client, SplittableRandom random) {
    if (client != null && (client.halfClosed || random.nextInt(4) == 0)) {
      frontend.disconnect(client);
    }
  }

  private static void refuseStep(Frontend frontend) {
    if (frontend.shutdown.stage() == Stage.DRAINING
        && frontend.clients.stream().noneMatch(other -> other.forwarded)) {
      frontend.shutdown.refuse(frontend.nowUs, DEADLINE_US);
    }
  }

  private static void timeStep(Frontend frontend, SplittableRandom random) {
    frontend.nowUs += random.nextInt(6);
    if (frontend.listenerCloseRequested && frontend.listening) {
      frontend.listening = false;
      frontend.shutdown.listenerClosed(frontend.nowUs);
    }
    frontend.shutdown.advance(frontend.nowUs);
  }

  /** Responds to all forwarded requests and lets the deadline pass. */
  private static void finish(Frontend frontend) {
    frontend.shutdown.drain(frontend.nowUs, true);
    frontend.clients.stream()
        .filter(client -> client.forwarded)
        .forEach(client -> frontend.respond(client, true));
    frontend.shutdown.refuse(frontend.nowUs, Math.max(DEADLINE_US, frontend.nowUs));
    frontend.nowUs = Math.max(DEADLINE_US, frontend.nowUs);
    frontend.shutdown.advance(frontend.nowUs);
  }

  /**
   * Idle connections are closed first, then queued ones are accepted and their requests are
   * awaited.
   */
  @Test
  void listenerClosesAfterIdleConnectionsAndQueuedRequestsAreRead() {
    Frontend frontend = new Frontend();
    Client idle = frontend.connect();
    frontend.nowUs = 20;
    Client fresh = frontend.connect();
    frontend.shutdown.drain(frontend.nowUs, true);
    assertTrue(
        idle.halfClosed && !fresh.halfClosed,
        "a recently accepted connection is kept open for a request in transit");
    frontend.shutdown.refuse(frontend.nowUs, DEADLINE_US);
    assertFalse(
        frontend.listenerCloseRequested, "the listener must stay open for clients that reconnect");
    frontend.nowUs += REQUEST_TRANSIT_US;
    frontend.shutdown.advance(frontend.nowUs);
    assertTrue(frontend.listenerCloseRequested && fresh.halfClosed);
    Client announcedClose = frontend.connect();
    frontend.listening = false;
    frontend.shutdown.listenerClosed(frontend.nowUs);
    frontend.send(announcedClose, Bytes.COMPLETE);
    frontend.nowUs += REQUEST_TRANSIT_US;
    frontend.shutdown.advance(frontend.nowUs);
    assertTrue(
        announcedClose.halfClosed && frontend.refusals == 1,
        "the queued request was not read and refused");
    List.copyOf(frontend.clients).forEach(frontend::disconnect);
    assertTrue(
        frontend.complete && frontend.nowUs < DEADLINE_US,
        "shutdown must complete before its deadline");
  }
}

package dunlinhitch.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.frontend.GracefulShutdown.Fate;
import dunlinhitch.frontend.GracefulShutdown.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The end of a front against clients, sockets and a listener that are made up, in many orders. */
class GracefulShutdownTest {
  private static final long CROSSING = 10;
  private static final long END = 60;

  /** What lies in a connection's socket, or was read of it. */
  private enum Bytes {
    NONE,
    HALF,
    WHOLE
  }

  private static final class Client {
    private Bytes unread = Bytes.NONE;
    private Bytes read = Bytes.NONE;
    private boolean sentOn;
    private boolean last;
    private boolean halfClosed;
  }

  /** Checks each action as it comes. */
  private static final class World implements GracefulShutdown.Acts<Client> {
    private final GracefulShutdown<Client> end = new GracefulShutdown<>(this, CROSSING);
    private final List<Client> clients = new ArrayList<>();
    private long now;
    private boolean listens = true;
    private boolean asked;
    private boolean over;
    private int refused;

    Client connect() {
      Client client = new Client();
      clients.add(client);
      end.made(now, client);
      return client;
    }

    void send(Client client, Bytes bytes) {
      client.unread = bytes;
    }

    void read(Client client) {
      Bytes bytes = client.unread;
      client.unread = Bytes.NONE;
      if (bytes == Bytes.NONE || client.halfClosed) {
        return; // discarded
      }
      end.begun(client);
      client.read = bytes;
      if (bytes == Bytes.WHOLE) {
        Fate fate = end.taken(client);
        assertTrue(
            fate == Fate.REFUSE || fate == Fate.SEND_ON,
            "dropped, though it was read before the half-close");
        assertEquals(end.stage() == Stage.REFUSING, fate == Fate.REFUSE);
        client.sentOn = fate == Fate.SEND_ON;
        if (fate == Fate.REFUSE) {
          refused++;
          answer(client, true);
        }
      }
    }

    void answer(Client client, boolean last) {
      client.read = Bytes.NONE;
      client.sentOn = false;
      client.last = last;
      end.answered(client, last);
    }

    void leave(Client client) {
      clients.remove(client);
      end.gone(client);
    }

    @Override
    public void readOnce(Client client) {
      read(client);
    }

    @Override
    public void halfClose(Client client) {
      assertFalse(client.halfClosed, "twice");
      assertEquals(Bytes.NONE, client.read, "a request that was read gets no answer");
      assertTrue(client.last || client.unread == Bytes.NONE, "what had come before goes unread");
      client.halfClosed = true;
    }

    @Override
    public void refuse(Client client) {
      assertEquals(Bytes.HALF, client.read);
      refused++;
      answer(client, true);
    }

    @Override
    public void closeListener() {
      asked = true;
    }

    @Override
    public void closed() {
      assertFalse(over, "twice");
      over = true;
      assertTrue(now >= END || clients.isEmpty() && !listens, "cut before its time");
      assertTrue(
          clients.stream().noneMatch(client -> client.read != Bytes.NONE && !client.sentOn),
          "half a request is left without an answer");
    }
  }

  /**
   * Any order of what clients, the loop, the end and time do: the checks of the world hold, and all
   * is over by its time.
   */
  @Test
  void inAnyOrderWhatWasReadIsAnsweredAndNothingIsReadBehindTheHalfClose() {
    int refusals = 0;
    for (int walk = 0; walk < 30_000; walk++) {
      SplittableRandom random = new SplittableRandom(walk);
      World world = new World();
      for (int step = 0; step < 40 && !world.over; step++) {
        Client client =
            world.clients.isEmpty()
                ? null
                : world.clients.get(random.nextInt(world.clients.size()));
        switch (random.nextInt(10)) {
          case 0 -> {
            if (world.listens && world.clients.size() < 3) {
              world.connect();
            }
          }
          case 1, 2 -> {
            if (client != null && client.read != Bytes.WHOLE && client.unread == Bytes.NONE) {
              world.send(
                  client,
                  client.read == Bytes.HALF || random.nextBoolean() ? Bytes.WHOLE : Bytes.HALF);
            }
          }
          case 3, 4 -> {
            if (client != null) {
              world.read(client);
            }
          }
          case 5 -> {
            if (client != null && client.sentOn) {
              world.answer(client, world.end.isLeaving() || random.nextInt(3) == 0);
            }
          }
          case 6 -> {
            if (client != null && (client.halfClosed || random.nextInt(4) == 0)) {
              world.leave(client);
            }
          }
          case 7 -> world.end.leave(world.now, random.nextBoolean());
          case 8 -> {
            if (world.end.stage() == Stage.LEAVING
                && world.clients.stream().noneMatch(c -> c.sentOn)) {
              world.end.refuse(world.now, END);
            }
          }
          default -> {
            world.now += random.nextInt(6);
            if (world.asked && world.listens) {
              world.listens = false;
              world.end.listenerClosed(world.now);
            }
            world.end.passed(world.now);
          }
        }
      }
      world.end.leave(world.now, true);
      world.clients.stream()
          .filter(client -> client.sentOn)
          .forEach(client -> world.answer(client, true));
      world.end.refuse(world.now, Math.max(END, world.now));
      world.now = Math.max(END, world.now);
      world.end.passed(world.now);
      assertTrue(world.over, "it does not end");
      refusals += world.refused;
    }
    assertTrue(refusals > 1_000, "the walks come to the rare moments: " + refusals);
  }

  /** Those who rest go first, those in the queue are let in, and only they are waited for then. */
  @Test
  void theListenerClosesBehindTheRestingAndThoseItLetInLastAreHeard() {
    World world = new World();
    Client rests = world.connect();
    world.now = 20;
    Client fresh = world.connect();
    world.end.leave(world.now, true);
    assertTrue(rests.halfClosed && !fresh.halfClosed, "a new one has its request under way");
    world.end.refuse(world.now, END);
    assertFalse(world.asked, "what crosses the close comes again");
    world.now += CROSSING;
    world.end.passed(world.now);
    assertTrue(world.asked && fresh.halfClosed);
    Client last = world.connect();
    world.listens = false;
    world.end.listenerClosed(world.now);
    world.send(last, Bytes.WHOLE);
    world.now += CROSSING;
    world.end.passed(world.now);
    assertTrue(last.halfClosed && world.refused == 1, "read at the last moment");
    List.copyOf(world.clients).forEach(world::leave);
    assertTrue(world.over && world.now < END, "it does not wait for its deadline");
  }
}

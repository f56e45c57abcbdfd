package dunlinhitch.discovery.dnssd;

import dunlinhitch.discovery.dnssd.Dso.DsoMessage;
import dunlinhitch.discovery.dnssd.Dso.Head;
import dunlinhitch.discovery.dnssd.Dso.PushChange;
import dunlinhitch.discovery.dnssd.Dso.Tlv;
import dunlinhitch.endpoints.TimingWheel;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * What a client of DNS Push Notifications says and when (RFC 8765, RFC 8490): when to connect, what
 * to subscribe to, when to give a sign of life, how long to stay away. No I/O and no clock: events
 * in, {@link Action}s out; times are microseconds.
 */
final class PushSession {
  /**
   * Of subscriptions that wait for their response, so that a newcomer's thousands do not go out at
   * once.
   */
  static final int MOST_ASKED = 256;

  private static final long CONNECT_US = 5_000_000;
  private static final long FIRST_PAUSE_US = 500_000;
  private static final long LONGEST_PAUSE_US = 60_000_000;

  /**
   * RFC 8490 section 6.2: the standard, until the server says otherwise, and the least that it may
   * say.
   */
  private static final long KEEPALIVE_US = 15_000_000;

  private static final long LEAST_KEEPALIVE_US = 10_000_000;
  private static final long MOST_KEEPALIVE_US = 3_600_000_000L;

  /** What the edge is to do. */
  sealed interface Action {}

  record Connect(long dueUs) implements Action {}

  record Send(Buffer bytes) implements Action {}

  record Close(String why) implements Action {}

  /** A set is followed from now on, or no longer. */
  record Followed(Question key, boolean follows) implements Action {}

  record Pushed(List<PushChange> changes) implements Action {}

  private enum Phase {
    AWAY,
    CONNECTING,
    UP
  }

  private final RandomGenerator random;
  private Phase phase = Phase.AWAY;
  private long dueUs;
  private long pauseUs = FIRST_PAUSE_US;
  private long keepAliveUs = KEEPALIVE_US;
  private long heardUs;
  private long sentUs;
  private int lastId;
  private boolean answered;

  /** Subscriptions that wait for a response, by message id. */
  private final Map<Integer, Question> asked = new HashMap<>();

  /** Subscriptions that hold, and their ids. */
  private final Map<Question, Integer> held = new LinkedHashMap<>();

  /** What the server will not have followed. */
  private final Set<Question> refused = new HashSet<>();

  PushSession(RandomGenerator random, long nowUs) {
    this.random = random;
    dueUs = nowUs;
  }

  /** When {@link #passed} is wanted. */
  long nextUs() {
    return switch (phase) {
      case AWAY -> dueUs;
      case CONNECTING -> TimingWheel.NEVER;
      case UP -> Math.min(sentUs + keepAliveUs, heardUs + 2 * keepAliveUs);
    };
  }

  boolean isUp() {
    return phase == Phase.UP;
  }

  List<Action> passed(long now) {
    List<Action> actions = new ArrayList<>();
    if (phase == Phase.AWAY && now >= dueUs) {
      phase = Phase.CONNECTING;
      actions.add(new Connect(now + CONNECT_US));
    } else if (phase == Phase.UP && now >= heardUs + 2 * keepAliveUs) {
      actions.add(new Close("nothing came for twice the keep-alive"));
      away(now, actions, nextPause());
    } else if (phase == Phase.UP && now >= sentUs + keepAliveUs) {
      send(now, actions, nextId(), Dso.keepAlive(KEEPALIVE_US / 1000, keepAliveUs / 1000));
    }
    return actions;
  }

  List<Action> connected(long now) {
    phase = Phase.UP;
    answered = false;
    heardUs = now;
    keepAliveUs = KEEPALIVE_US;
    List<Action> actions = new ArrayList<>();
    send(now, actions, nextId(), Dso.keepAlive(KEEPALIVE_US / 1000, KEEPALIVE_US / 1000));
    return actions;
  }

  /** The connection was not made, or has ended. */
  List<Action> lost(long now) {
    List<Action> actions = new ArrayList<>();
    if (phase != Phase.AWAY) {
      away(now, actions, nextPause());
    }
    return actions;
  }

  /**
   * What the records want to have followed: it subscribes to what is new and leaves what is not
   * wanted any more.
   */
  List<Action> wanted(long now, Set<Question> wanted) {
    List<Action> actions = new ArrayList<>();
    if (phase != Phase.UP || !answered) {
      return actions;
    }
    for (Question key : wanted) {
      if (asked.size() >= MOST_ASKED) {
        break;
      }
      if (!held.containsKey(key) && !refused.contains(key) && !asked.containsValue(key)) {
        int id = nextId();
        asked.put(id, key);
        send(now, actions, id, Dso.subscribe(key));
      }
    }
    List<Question> over = held.keySet().stream().filter(key -> !wanted.contains(key)).toList();
    for (Question key : over) { // a message without an id: it wants no response
      send(now, actions, 0, Dso.unsubscribe(held.remove(key)));
    }
    return actions;
  }

  /** A whole message came. One that can not be read ends the session (RFC 8490 section 5.2). */
  List<Action> received(long now, byte[] bytes) {
    List<Action> actions = new ArrayList<>();
    if (phase != Phase.UP) {
      return actions;
    }
    heardUs = now;
    try {
      DsoMessage message = Dso.read(bytes);
      if (message.head().response()) {
        response(message, actions);
      } else {
        request(now, message, actions);
      }
    } catch (IOException | RuntimeException e) {
      actions.add(new Close("a message that can not be read: " + e.getMessage()));
      away(now, actions, nextPause());
    }
    return actions;
  }

  private void response(DsoMessage message, List<Action> actions) throws IOException {
    Question key = asked.remove(message.head().id());
    if (key != null) {
      if (message.head().rcode() == 0) {
        held.put(key, message.head().id());
        actions.add(new Followed(key, true));
      } else {
        refused.add(key);
      }
    } else if (message.head().rcode()
        == 0) { // the keep-alive that began the session, or a later one
      answered = true;
      pauseUs = FIRST_PAUSE_US;
      for (Tlv tlv : message.tlvs()) {
        if (tlv.type() == Dso.KEEPALIVE) {
          takeKeepAlive(tlv);
        }
      }
    } else {
      throw new IOException(
          "the server speaks no stateful operations: response code " + message.head().rcode());
    }
  }

  private void takeKeepAlive(Tlv tlv) throws IOException {
    long us = Dso.numbers(tlv, 2)[1] * 1000;
    if (us < LEAST_KEEPALIVE_US) {
      throw new IOException("a keep-alive interval below 10 s");
    }
    keepAliveUs = Math.min(us, MOST_KEEPALIVE_US);
  }

  private void request(long now, DsoMessage message, List<Action> actions) throws IOException {
    if (message.tlvs().isEmpty()) {
      throw new IOException("a request about nothing");
    }
    Tlv first = message.tlvs().get(0);
    switch (first.type()) {
      case Dso.PUSH -> actions.add(new Pushed(Dso.pushed(first)));
      case Dso.KEEPALIVE -> takeKeepAlive(first);
      case Dso.RETRY_DELAY -> {
        long delayUs = Math.min(LONGEST_PAUSE_US * 60, Dso.numbers(first, 1)[0] * 1000);
        actions.add(new Close("the server asked to stay away"));
        away(now, actions, delayUs + (long) (delayUs * random.nextDouble() / 10));
      }
      default -> {
        if (message.head().id() != 0) { // DSOTYPENI (RFC 8490 section 5.3)
          actions.add(new Send(Dso.write(new Head(message.head().id(), true, 11))));
        }
      }
    }
  }

  private long nextPause() {
    long pause = pauseUs;
    pauseUs = Math.min(LONGEST_PAUSE_US, 2 * pauseUs);
    return (long) (pause * (0.5 + random.nextDouble()));
  }

  private void away(long now, List<Action> actions, long pause) {
    phase = Phase.AWAY;
    dueUs = now + pause;
    held.keySet().forEach(key -> actions.add(new Followed(key, false)));
    held.clear();
    asked.clear();
    refused.clear();
  }

  private int nextId() {
    lastId = lastId % 0xffff + 1;
    return lastId;
  }

  private void send(long now, List<Action> actions, int id, Tlv tlv) {
    sentUs = now;
    actions.add(new Send(Dso.write(new Head(id, false, 0), tlv)));
  }
}

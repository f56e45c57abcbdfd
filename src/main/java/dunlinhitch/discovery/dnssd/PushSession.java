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
 * State machine of a client of DNS Push Notifications (RFC 8765) on a DSO session (RFC 8490). It
 * decides when to connect, what to subscribe to, when to send keep-alives and how long to stay
 * disconnected. Its inputs are events, its outputs are {@link Action}s; it performs no I/O and
 * reads no clock. Not thread-safe. Times are in microseconds.
 */
final class PushSession {
  /** Limit on unanswered subscriptions, so that a new session does not send a burst. */
  static final int MAX_PENDING_SUBSCRIPTIONS = 256;

  private static final long CONNECT_TIMEOUT_US = 5_000_000;

  /** Time limit of the response to {@link #probe}. */
  private static final long PROBE_TIMEOUT_US = 1_000_000;

  private static final JitteredBackoff RECONNECT = new JitteredBackoff(500_000, 60_000_000, 0.5, 1);

  /** Keep-alive interval until the server sets one (RFC 8490 section 6.2). */
  private static final long DEFAULT_KEEPALIVE_US = 15_000_000;

  /** The shortest keep-alive interval that a server may set (RFC 8490 section 6.2). */
  private static final long MIN_KEEPALIVE_US = 10_000_000;

  private static final long MAX_KEEPALIVE_US = 3_600_000_000L;

  /** Upper bound applied to the retry delay that a server requests. */
  private static final long MAX_RETRY_DELAY_US = 3_600_000_000L;

  /** Up to 1/10 is added to a retry delay, so that clients do not reconnect together. */
  private static final int RETRY_DELAY_JITTER_DIVISOR = 10;

  private static final long US_PER_MS = 1000;
  private static final int NOERROR = 0;

  /** Response code for a request of an unknown type (RFC 8490 section 5.3). */
  private static final int DSOTYPENI = 11;

  /** Message id of a unidirectional message, to which there is no response. */
  private static final int UNIDIRECTIONAL = 0;

  private static final int MAX_MESSAGE_ID = 0xffff;

  /** An action that the owner of the session must perform. */
  sealed interface Action {}

  /** Connect before the deadline. */
  record Connect(long deadlineUs) implements Action {}

  /** Send a message that includes its length prefix. */
  record Send(Buffer bytes) implements Action {}

  /** Close the connection. */
  record Close(String reason) implements Action {}

  /** The server has accepted a subscription, or a subscription has ended. */
  record SubscriptionChanged(Question key, boolean subscribed) implements Action {}

  /** The server has pushed changes. */
  record ChangesReceived(List<PushChange> changes) implements Action {}

  private enum Phase {
    DISCONNECTED,
    CONNECTING,
    UP
  }

  private final RandomGenerator random;
  private Phase phase = Phase.DISCONNECTED;
  private long reconnectUs;

  /** Failures since the server last accepted a session. */
  private int failures;

  private long keepaliveIntervalUs = DEFAULT_KEEPALIVE_US;
  private long lastReceivedUs;
  private long lastSentUs;
  private int lastMessageId;

  /** True once the server has answered the first keep-alive, which shows that it supports DSO. */
  private boolean established;

  /** Message id of the unanswered probe, or {@link #UNIDIRECTIONAL} if there is none. */
  private int probeId = UNIDIRECTIONAL;

  private long probeTimeoutUs = TimingWheel.NEVER;

  /** Subscriptions that await their response, by message id. */
  private final Map<Integer, Question> pendingSubscriptions = new HashMap<>();

  /** Accepted subscriptions and the ids of the messages that requested them. */
  private final Map<Question, Integer> subscriptions = new LinkedHashMap<>();

  /** Subscriptions that the server has rejected in this session. */
  private final Set<Question> rejectedSubscriptions = new HashSet<>();

  PushSession(RandomGenerator random, long nowUs) {
    this.random = random;
    reconnectUs = nowUs;
  }

  /** Returns the latest time at which {@link #onTimer} must be called. */
  long nextUs() {
    return switch (phase) {
      case DISCONNECTED -> reconnectUs;
      case CONNECTING -> TimingWheel.NEVER;
      case UP -> Math.min(probeTimeoutUs, Math.min(keepaliveDueUs(), inactivityTimeoutUs()));
    };
  }

  private long keepaliveDueUs() {
    return lastSentUs + keepaliveIntervalUs;
  }

  /**
   * Returns when the session times out, which is two keep-alive intervals after the last message
   * from the server.
   */
  private long inactivityTimeoutUs() {
    return lastReceivedUs + 2 * keepaliveIntervalUs;
  }

  /** Returns true while there is a connection. */
  boolean isUp() {
    return phase == Phase.UP;
  }

  /** Returns true while there is a connection whose server has confirmed that it supports DSO. */
  boolean isEstablished() {
    return phase == Phase.UP && established;
  }

  /**
   * Requests a sign of life from the server, because a change may have been missed. A session whose
   * server does not respond in time ends.
   */
  List<Action> probe(long nowUs) {
    List<Action> actions = new ArrayList<>();
    if (isEstablished() && probeId == UNIDIRECTIONAL) {
      probeId = sendKeepalive(nowUs, actions);
      probeTimeoutUs = nowUs + PROBE_TIMEOUT_US;
    }
    return actions;
  }

  /** Performs the work that is due at {@code nowUs}. */
  List<Action> onTimer(long nowUs) {
    List<Action> actions = new ArrayList<>();
    if (phase == Phase.DISCONNECTED && nowUs >= reconnectUs) {
      phase = Phase.CONNECTING;
      actions.add(new Connect(nowUs + CONNECT_TIMEOUT_US));
    } else if (phase == Phase.UP && nowUs >= probeTimeoutUs) {
      actions.add(new Close("the server does not respond to a keep-alive"));
      disconnect(nowUs, actions, nextBackoffUs());
    } else if (phase == Phase.UP && nowUs >= inactivityTimeoutUs()) {
      actions.add(new Close("no message from the server for two keep-alive intervals"));
      disconnect(nowUs, actions, nextBackoffUs());
    } else if (phase == Phase.UP && nowUs >= keepaliveDueUs()) {
      sendKeepalive(nowUs, actions);
    }
    return actions;
  }

  /** Handles an established connection. */
  List<Action> onConnected(long nowUs) {
    phase = Phase.UP;
    established = false;
    lastReceivedUs = nowUs;
    keepaliveIntervalUs = DEFAULT_KEEPALIVE_US;
    List<Action> actions = new ArrayList<>();
    sendKeepalive(nowUs, actions);
    return actions;
  }

  /** Handles a connection attempt that has failed, or a connection that has been closed. */
  List<Action> onConnectionLost(long nowUs) {
    List<Action> actions = new ArrayList<>();
    if (phase != Phase.DISCONNECTED) {
      disconnect(nowUs, actions, nextBackoffUs());
    }
    return actions;
  }

  /** Subscribes to new keys and unsubscribes from keys that are no longer in {@code keys}. */
  List<Action> updateSubscriptions(long nowUs, Set<Question> keys) {
    List<Action> actions = new ArrayList<>();
    if (phase != Phase.UP || !established) {
      return actions;
    }
    for (Question key : keys) {
      if (pendingSubscriptions.size() >= MAX_PENDING_SUBSCRIPTIONS) {
        break;
      }
      if (isNew(key)) {
        int id = nextMessageId();
        pendingSubscriptions.put(id, key);
        send(nowUs, actions, id, Dso.subscribe(key));
      }
    }
    List<Question> obsolete =
        subscriptions.keySet().stream().filter(key -> !keys.contains(key)).toList();
    for (Question key : obsolete) {
      send(nowUs, actions, UNIDIRECTIONAL, Dso.unsubscribe(subscriptions.remove(key)));
    }
    return actions;
  }

  private boolean isNew(Question key) {
    return !subscriptions.containsKey(key)
        && !rejectedSubscriptions.contains(key)
        && !pendingSubscriptions.containsValue(key);
  }

  /** Handles a complete message. A malformed one ends the session (RFC 8490 section 5.2). */
  List<Action> onMessage(long nowUs, byte[] bytes) {
    List<Action> actions = new ArrayList<>();
    if (phase != Phase.UP) {
      return actions;
    }
    lastReceivedUs = nowUs;
    try {
      DsoMessage message = Dso.read(bytes);
      if (message.head().response()) {
        onResponse(message, actions);
      } else {
        onRequest(nowUs, message, actions);
      }
    } catch (IOException | RuntimeException exception) {
      // dnsjava also throws unchecked exceptions if the data of a record is malformed.
      actions.add(new Close("invalid message from the server: " + exception.getMessage()));
      disconnect(nowUs, actions, nextBackoffUs());
    }
    return actions;
  }

  private void onResponse(DsoMessage message, List<Action> actions) throws IOException {
    if (message.head().id() == probeId) {
      endProbe();
    }
    int rcode = message.head().rcode();
    Question key = pendingSubscriptions.remove(message.head().id());
    if (key != null) {
      onSubscribeResponse(key, message.head(), actions);
      return;
    }
    if (rcode != NOERROR) {
      throw new IOException(
          "the server rejected the DNS Stateful Operations session with response code " + rcode);
    }
    onKeepaliveResponse(message);
  }

  private void endProbe() {
    probeId = UNIDIRECTIONAL;
    probeTimeoutUs = TimingWheel.NEVER;
  }

  private void onSubscribeResponse(Question key, Head head, List<Action> actions) {
    if (head.rcode() == NOERROR) {
      subscriptions.put(key, head.id());
      actions.add(new SubscriptionChanged(key, true));
    } else {
      rejectedSubscriptions.add(key);
    }
  }

  private void onKeepaliveResponse(DsoMessage message) throws IOException {
    established = true;
    failures = 0;
    for (Tlv tlv : message.tlvs()) {
      if (tlv.type() == Dso.KEEPALIVE) {
        applyKeepalive(tlv);
      }
    }
  }

  private void applyKeepalive(Tlv tlv) throws IOException {
    long intervalUs = Dso.readKeepaliveIntervalMs(tlv) * US_PER_MS;
    if (intervalUs < MIN_KEEPALIVE_US) {
      throw new IOException(
          "the keep-alive interval is "
              + intervalUs / US_PER_MS
              + " ms, expected at least 10000 ms");
    }
    keepaliveIntervalUs = Math.min(intervalUs, MAX_KEEPALIVE_US);
  }

  private void onRequest(long nowUs, DsoMessage message, List<Action> actions) throws IOException {
    if (message.tlvs().isEmpty()) {
      throw new IOException("the request contains no TLV, expected at least one");
    }
    Tlv primary = message.tlvs().get(0);
    switch (primary.type()) {
      case Dso.PUSH -> actions.add(new ChangesReceived(Dso.readPush(primary)));
      case Dso.KEEPALIVE -> applyKeepalive(primary);
      case Dso.RETRY_DELAY -> onRetryDelay(nowUs, primary, actions);
      default -> rejectUnknownType(message.head(), actions);
    }
  }

  private void onRetryDelay(long nowUs, Tlv tlv, List<Action> actions) throws IOException {
    long delayUs = Math.min(MAX_RETRY_DELAY_US, Dso.readRetryDelayMs(tlv) * US_PER_MS);
    actions.add(new Close("the server requested a retry delay of " + delayUs / US_PER_MS + " ms"));
    long jitterUs = (long) (delayUs * random.nextDouble() / RETRY_DELAY_JITTER_DIVISOR);
    disconnect(nowUs, actions, delayUs + jitterUs);
  }

  private static void rejectUnknownType(Head request, List<Action> actions) {
    if (request.id() != UNIDIRECTIONAL) {
      actions.add(new Send(Dso.write(new Head(request.id(), true, DSOTYPENI))));
    }
  }

  private long nextBackoffUs() {
    return RECONNECT.delayUs(failures++, random);
  }

  private void disconnect(long nowUs, List<Action> actions, long delayUs) {
    phase = Phase.DISCONNECTED;
    reconnectUs = nowUs + delayUs;
    subscriptions.keySet().forEach(key -> actions.add(new SubscriptionChanged(key, false)));
    subscriptions.clear();
    pendingSubscriptions.clear();
    rejectedSubscriptions.clear();
    endProbe();
  }

  private int nextMessageId() {
    lastMessageId = lastMessageId % MAX_MESSAGE_ID + 1;
    return lastMessageId;
  }

  /** Sends a keep-alive and returns its message id. */
  private int sendKeepalive(long nowUs, List<Action> actions) {
    Tlv tlv = Dso.keepalive(DEFAULT_KEEPALIVE_US / US_PER_MS, keepaliveIntervalUs / US_PER_MS);
    int id = nextMessageId();
    send(nowUs, actions, id, tlv);
    return id;
  }

  private void send(long nowUs, List<Action> actions, int id, Tlv tlv) {
    lastSentUs = nowUs;
    actions.add(new Send(Dso.write(new Head(id, false, NOERROR), tlv)));
  }
}

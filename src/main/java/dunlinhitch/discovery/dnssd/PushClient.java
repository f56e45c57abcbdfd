package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.random.RandomGenerator;
import org.xbill.DNS.Type;

/**
 * Receives changes of a service's records from a push server: performs the actions of the {@link
 * PushSession} on a {@link PushConnection} and applies pushed changes to the {@link
 * ServiceRecords}. Confined to the event loop.
 */
final class PushClient implements PushConnection.Listener {
  /** Initial version, which differs from every version of the records. */
  private static final long NO_VERSION = -1;

  private final DiscoveryContext context;
  private final ServiceRecords records;
  private final PushSession session;
  private final PushConnection connection;
  private final Runnable afterEvent;
  private long subscribedVersion = NO_VERSION;

  /** True while the session may have subscriptions that it has not requested yet. */
  private boolean subscriptionsPending;

  /**
   * Creates a client; {@code afterEvent} runs after connection events and calls {@link #advance}.
   */
  PushClient(
      Vertx vertx,
      DnsDiscoverySource.Push server,
      DiscoveryContext context,
      ServiceRecords records,
      RandomGenerator random,
      Runnable afterEvent) {
    this.context = context;
    this.records = records;
    this.afterEvent = afterEvent;
    session = new PushSession(random, context.nowUs());
    connection = new PushConnection(vertx, server, context.clock(), this);
  }

  /** Returns true while the session is up. */
  boolean isUp() {
    return session.isUp();
  }

  /** Returns true while the session is up and its server has confirmed that it supports DSO. */
  boolean isEstablished() {
    return session.isEstablished();
  }

  /** Requests a sign of life from the server; a session without one ends. */
  void probe(long nowUs) {
    perform(session.probe(nowUs));
  }

  /** Returns the latest time at which {@link #advance} must be called. */
  long nextUs() {
    return session.nextUs();
  }

  /** Performs due work and updates the subscriptions to match the required records. */
  void advance(long nowUs) {
    perform(session.onTimer(nowUs));
    if (subscribedVersion == records.version() && !subscriptionsPending) {
      return;
    }
    subscribedVersion = records.version();
    List<PushSession.Action> actions =
        session.updateSubscriptions(nowUs, records.subscriptionKeys());
    subscriptionsPending = !actions.isEmpty() || !session.isUp();
    perform(actions);
  }

  /** Closes the connection permanently. */
  void stop() {
    connection.stop();
  }

  @Override
  public void onConnected() {
    perform(session.onConnected(context.nowUs()));
    subscriptionsPending = true;
    afterEvent.run();
  }

  @Override
  public void onConnectFailed(Throwable cause) {
    context.logLine(
        context.source() + ": cannot connect to the push server: " + cause.getMessage());
    perform(session.onConnectionLost(context.nowUs()));
    afterEvent.run();
  }

  @Override
  public void onMessage(byte[] message) {
    perform(session.onMessage(context.nowUs(), message));
    subscriptionsPending = true;
  }

  @Override
  public void onReadComplete() {
    afterEvent.run();
  }

  @Override
  public void onClosed() {
    context.emit(new Event.ConditionCounted(Counter.PUSH_ENDED));
    connection.close();
    perform(session.onConnectionLost(context.nowUs()));
    subscriptionsPending = true;
    afterEvent.run();
  }

  private void perform(List<PushSession.Action> actions) {
    for (PushSession.Action action : actions) {
      perform(action);
    }
  }

  private void perform(PushSession.Action action) {
    if (action instanceof PushSession.Connect connect) {
      connection.connect(connect.deadlineUs());
    } else if (action instanceof PushSession.Send send) {
      connection.send(send.bytes());
    } else if (action instanceof PushSession.Close close) {
      context.logLine(context.source() + ": push session ended: " + close.reason());
      context.emit(new Event.ConditionCounted(Counter.PUSH_ENDED));
      connection.close();
    } else if (action instanceof PushSession.SubscriptionChanged changed) {
      records.onSubscriptionChanged(context.nowUs(), changed.key(), changed.subscribed());
    } else if (action instanceof PushSession.ChangesReceived received) {
      long nowUs = context.nowUs();
      received.changes().forEach(change -> apply(nowUs, change));
    }
  }

  private void apply(long nowUs, Dso.PushChange change) {
    if (!change.removed()) {
      records.onRecordAdded(nowUs, change.record());
    } else if (change.key().type() == Type.ANY) {
      removeName(nowUs, change.key());
    } else {
      records.onRecordRemoved(nowUs, change.key(), change.record());
    }
  }

  /** Removes the record sets of all types of a name. */
  private void removeName(long nowUs, Question anyType) {
    List<Question> keys =
        records.subscriptionKeys().stream()
            .filter(key -> key.name().equals(anyType.name()))
            .toList();
    keys.forEach(key -> records.onRecordRemoved(nowUs, key, null));
  }
}

package dunlinhitch.backend.flight;

import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The first passes in flight to one store, and the cancelled first passes that the store may still
 * have.
 *
 * <p>Not thread-safe; owned by its transport and used on the event loop only.
 */
final class FlightFirstPasses {
  /** Starts the calls and receives their outcomes; all methods are called on the event loop. */
  interface Listener {
    /** Passes the call to a reader thread. */
    void start(FlightFirstPassCall call);

    /** Called when a first pass that was not cancelled has ended without a reply. */
    void onCompleted(Event.AttemptCompleted completion);

    /** Called when a first pass that was not cancelled was answered. */
    void onReply(Event.FirstPassCompleted reply);

    /**
     * Called once a cancelled first pass is known to have been sent; the store must then be
     * notified of the cancellation.
     */
    void onCancelled(String partId, long attempt, long connection);

    /** Called when the store no longer has a cancelled first pass. */
    void onReleased(long attempt);
  }

  /**
   * A first pass in flight.
   *
   * @param connection the number of the connection on which it was started
   */
  private record SentFirstPass(FlightFirstPassCall call, long connection) {}

  private final Listener listener;
  private final Map<Long, SentFirstPass> inFlight = new HashMap<>();

  /** Cancelled first passes whose release is to be reported. */
  private final Set<Long> unconfirmed = new HashSet<>();

  FlightFirstPasses(Listener listener) {
    this.listener = listener;
  }

  boolean isEmpty() {
    return inFlight.isEmpty();
  }

  int size() {
    return inFlight.size();
  }

  /** Starts the first pass of a part on the connection with the given number. */
  void start(AttemptRequest part, FlightFirstPassCall call, long connection) {
    inFlight.put(part.attempt(), new SentFirstPass(call, connection));
    listener.start(call);
  }

  /** Handles the end of a call without a reply. */
  void onCompleted(Event.AttemptCompleted completion) {
    SentFirstPass sent = inFlight.remove(completion.attempt());
    if (sent == null) { // the first pass was cancelled
      if (!completion.unconfirmed()) {
        release(completion.attempt());
      }
      return;
    }
    listener.onCompleted(completion);
    if (completion.unconfirmed()) {
      cancel(sent, completion.attempt(), true);
    }
  }

  /** Handles the store's reply. */
  void onReply(Event.FirstPassCompleted reply) {
    if (inFlight.remove(reply.attempt()) == null) { // the first pass was cancelled
      release(reply.attempt());
    } else {
      listener.onReply(reply);
    }
  }

  /**
   * Cancels a first pass. A call that was already sent continues: it costs the store little and
   * ends by its deadline.
   *
   * @param confirm whether the release of the first pass is to be reported
   * @return false if the first pass is not in flight
   */
  boolean cancel(long attempt, boolean confirm) {
    SentFirstPass sent = inFlight.remove(attempt);
    if (sent != null) {
      cancel(sent, attempt, confirm);
    }
    return sent != null;
  }

  private void cancel(SentFirstPass sent, long attempt, boolean confirm) {
    FlightFirstPassCall call = sent.call();
    call.stop();
    if (confirm) {
      unconfirmed.add(attempt);
      call.afterSending(() -> listener.onCancelled(call.partId(), attempt, sent.connection()));
    }
  }

  /** Prevents a first pass from being sent if it was not sent yet. */
  void withdraw(long attempt) {
    SentFirstPass sent = inFlight.get(attempt);
    if (sent != null) {
      sent.call().stop();
    }
  }

  private void release(long attempt) {
    if (unconfirmed.remove(attempt)) {
      listener.onReleased(attempt);
    }
  }
}

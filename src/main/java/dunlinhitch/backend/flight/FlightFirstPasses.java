package dunlinhitch.backend.flight;

import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The first passes in flight to one store, and those that were cancelled while the store may still
 * have them.
 *
 * <p>Not thread-safe; its transport owns it on the event loop.
 */
final class FlightFirstPasses {
  /** Makes the calls and learns of their ends; all methods are called on the event loop. */
  interface Listener {
    /** Hands the call to a reader thread. */
    void start(FlightFirstPassCall call);

    /** A first pass that was not cancelled has ended without a reply. */
    void onCompleted(Event.AttemptCompleted completion);

    /** A first pass that was not cancelled was answered. */
    void onReply(Event.FirstPassCompleted reply);

    /** The store is to be notified of a cancellation; the call is on its way to it. */
    void onCancelled(String partId, long attempt, long connection);

    /** The store does not have a cancelled first pass any more. */
    void onReleased(long attempt);
  }

  /**
   * A first pass in flight.
   *
   * @param connection the number of the connection that it was handed to
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

  /** Starts the first pass of a part on the connection of that number. */
  void start(AttemptRequest part, FlightFirstPassCall call, long connection) {
    inFlight.put(part.attempt(), new SentFirstPass(call, connection));
    listener.start(call);
  }

  /** The call has ended without a reply. */
  void onCompleted(Event.AttemptCompleted completion) {
    SentFirstPass sent = inFlight.remove(completion.attempt());
    if (sent == null) { // it was cancelled
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

  /** The store has answered. */
  void onReply(Event.FirstPassCompleted reply) {
    if (inFlight.remove(reply.attempt()) == null) { // it was cancelled
      release(reply.attempt());
    } else {
      listener.onReply(reply);
    }
  }

  /**
   * Cancels a first pass. One that was sent ends by its deadline and costs the store little, so it
   * may go on.
   *
   * @param confirm whether its release is to be reported
   * @return false where it is not in flight
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

  /** A first pass that was not sent yet is not sent any more. */
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

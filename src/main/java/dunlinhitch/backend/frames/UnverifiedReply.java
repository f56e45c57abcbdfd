package dunlinhitch.backend.frames;

import dunlinhitch.core.Event;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The last reply of a connection while it is not known whether its frame was whole. A store may
 * state a length that does not match what it sends, so a reply counts only once something shows
 * that its frame ended where its length says: the header of another frame, the store's end of
 * stream, or silence.
 *
 * <p>Not thread-safe; owned by its connection and used on the event loop only.
 */
final class UnverifiedReply {
  /**
   * A reply that is held back.
   *
   * @param attempt the attempt that it completes; empty for the reply to a health check
   * @param whole the event if the frame was whole
   * @param malformed the event if it was not
   */
  record Held(OptionalLong attempt, Event whole, Event malformed) {}

  private final Consumer<Event> events;

  /** Null if no reply is held. */
  private Held held;

  /** Number of replies that were held so far, which identifies the current one. */
  private long count;

  /**
   * Creates an empty holder.
   *
   * @param events receives the event of each reply that was not withdrawn
   */
  UnverifiedReply(Consumer<Event> events) {
    this.events = events;
  }

  boolean isEmpty() {
    return held == null;
  }

  /** Identifies the reply that is held, among all replies of this connection. */
  long number() {
    return count;
  }

  /** Holds a reply; the one before it must have been verified, because a header followed it. */
  void hold(Held reply) {
    held = reply;
    count++;
  }

  /** Accepts the reply, if one is held: its frame was whole. */
  void verify() {
    end(held == null ? null : held.whole());
  }

  /** Rejects the reply, if one is held: its frame may not have been whole. */
  void reject() {
    end(held == null ? null : held.malformed());
  }

  /**
   * Drops the reply if it completes the given attempt, which was cancelled.
   *
   * @return whether the reply was held
   */
  boolean withdraw(long attempt) {
    boolean matches = held != null && held.attempt().equals(OptionalLong.of(attempt));
    if (matches) {
      held = null;
    }
    return matches;
  }

  private void end(Event event) {
    held = null;
    if (event != null) {
      events.accept(event);
    }
  }
}

package dunlinhitch.backend.frames;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * The attempts of one connection that this side has given up and that the store may still have. A
 * store that has read the bytes behind a cancellation has read the cancellation: the reply to a
 * liveness check that was sent behind it is the proof, as are the attempt's own reply and the
 * store's end of the connection. That time has passed is none.
 *
 * <p>Not thread-safe; its connection owns it on the event loop.
 */
final class UnconfirmedAttempts {
  /** No liveness check was sent behind the cancellation yet. */
  private static final long NO_CHECK = Long.MAX_VALUE;

  private static final class Unconfirmed {
    private final long attempt;

    /** The number of the first liveness check behind its cancellation. */
    private long check = NO_CHECK;

    Unconfirmed(long attempt) {
      this.attempt = attempt;
    }
  }

  private final Map<String, Unconfirmed> byPart = new LinkedHashMap<>();
  private final LongConsumer onReleased;
  private long checksSent;
  private long checksAnswered;

  /**
   * Creates an empty set.
   *
   * @param onReleased takes each attempt that the store does not have any more
   */
  UnconfirmedAttempts(LongConsumer onReleased) {
    this.onReleased = onReleased;
  }

  boolean isEmpty() {
    return byPart.isEmpty();
  }

  /** True where a cancellation has no liveness check behind it. */
  boolean needsCheck() {
    return byPart.values().stream().anyMatch(unconfirmed -> unconfirmed.check == NO_CHECK);
  }

  /** Adds an attempt whose cancellation was written, or whose connection is being closed. */
  void add(String partId, long attempt) {
    byPart.put(partId, new Unconfirmed(attempt));
  }

  /** A liveness check was written. */
  void onCheckSent() {
    checksSent++;
    byPart.values().stream()
        .filter(unconfirmed -> unconfirmed.check == NO_CHECK)
        .forEach(unconfirmed -> unconfirmed.check = checksSent);
  }

  /**
   * A reply to a liveness check was read. Replies carry no id: so many replies prove only that so
   * many checks were read, the first ones.
   */
  void onCheckReply() {
    if (checksAnswered == checksSent) {
      return;
    }
    checksAnswered++;
    release(byPart.values().stream().filter(it -> it.check <= checksAnswered).toList());
  }

  /** The reply to the part was read. */
  void onReply(String partId) {
    Unconfirmed answered = byPart.get(partId);
    if (answered != null) {
      release(List.of(answered));
    }
  }

  /** The store has ended the connection. */
  void onConnectionEndedByStore() {
    release(new ArrayList<>(byPart.values()));
  }

  private void release(List<Unconfirmed> released) {
    byPart.values().removeAll(released);
    released.forEach(unconfirmed -> onReleased.accept(unconfirmed.attempt));
  }
}

package dunlinhitch.backend.frames;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * The attempts of one connection that this side has cancelled or lost and that the store may still
 * have. The store reads the bytes of a connection in order: its reply to a liveness check that was
 * sent after a cancellation proves that the store has read the cancellation and released the
 * attempt. The release is also proven if the store replies to the attempt or closes the connection.
 * A timeout does not prove it.
 *
 * <p>Not thread-safe; owned by its connection and used on the event loop only.
 */
final class UnconfirmedAttempts {
  /** Value of {@code check} until a liveness check is sent after the cancellation. */
  private static final long NO_CHECK = Long.MAX_VALUE;

  private static final class Unconfirmed {
    private final long attempt;

    /** The number of the first liveness check that was sent after the cancellation. */
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
   * @param onReleased receives each attempt that the store no longer has
   */
  UnconfirmedAttempts(LongConsumer onReleased) {
    this.onReleased = onReleased;
  }

  boolean isEmpty() {
    return byPart.isEmpty();
  }

  /** True if there is a cancellation after which no liveness check was sent. */
  boolean needsCheck() {
    return byPart.values().stream().anyMatch(unconfirmed -> unconfirmed.check == NO_CHECK);
  }

  /** Adds an attempt whose cancellation was written, or whose connection is being closed. */
  void add(String partId, long attempt) {
    byPart.put(partId, new Unconfirmed(attempt));
  }

  /** Records that a liveness check was written. */
  void onCheckSent() {
    checksSent++;
    byPart.values().stream()
        .filter(unconfirmed -> unconfirmed.check == NO_CHECK)
        .forEach(unconfirmed -> unconfirmed.check = checksSent);
  }

  /**
   * Handles the reply to a liveness check. Replies have no id: n replies prove only that the first
   * n checks were read.
   */
  void onCheckReply() {
    if (checksAnswered == checksSent) {
      return;
    }
    checksAnswered++;
    release(byPart.values().stream().filter(it -> it.check <= checksAnswered).toList());
  }

  /** Handles the reply to a part. */
  void onReply(String partId) {
    Unconfirmed answered = byPart.get(partId);
    if (answered != null) {
      release(List.of(answered));
    }
  }

  /** Releases all attempts after the store has ended the connection. */
  void onConnectionEndedByStore() {
    release(new ArrayList<>(byPart.values()));
  }

  private void release(List<Unconfirmed> released) {
    byPart.values().removeAll(released);
    released.forEach(unconfirmed -> onReleased.accept(unconfirmed.attempt));
  }
}

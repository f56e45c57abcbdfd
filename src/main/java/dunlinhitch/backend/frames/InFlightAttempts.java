package dunlinhitch.backend.frames;

import io.vertx.core.Future;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The attempts in flight on one connection, and the matching of replies to them. A reply identifies
 * a part, not an attempt. Therefore a part that was cancelled, and to which a reply may still
 * arrive, must not be sent on the same connection again.
 *
 * <p>Not thread-safe; owned by its connection and used on the event loop only.
 */
final class InFlightAttempts {
  /**
   * Number of cancelled parts that are remembered; older ones belong to queries that ended long
   * ago.
   */
  private static final int MAX_CANCELLED = 256;

  /** Number of answered parts that are remembered, so that duplicate replies are recognised. */
  private static final int MAX_ANSWERED = 64;

  /**
   * One attempt that was written to the socket.
   *
   * @param write completes once the last byte of the attempt's frame was passed to the kernel
   */
  record InFlightAttempt(
      long attempt, String partId, long sentUs, Future<Void> write, boolean firstPass) {
    /**
     * True until the complete frame was passed to the kernel; until then the store cannot have run
     * the attempt.
     */
    boolean isIncomplete() {
      return !write.succeeded();
    }
  }

  private final Map<String, InFlightAttempt> byPart = new LinkedHashMap<>();
  private final Set<String> cancelled = new LinkedHashSet<>();
  private final Set<String> answered = new LinkedHashSet<>();

  /** Adds an attempt that was written. */
  void add(InFlightAttempt attempt) {
    byPart.put(attempt.partId(), attempt);
  }

  boolean isEmpty() {
    return byPart.isEmpty();
  }

  int size() {
    return byPart.size();
  }

  /**
   * The time at which the oldest attempt was sent, in microseconds; requires an attempt in flight.
   */
  long oldestSentUs() {
    return byPart.values().iterator().next().sentUs();
  }

  /** True if a reply to an earlier attempt of the part may still arrive on this connection. */
  boolean mayStillBeAnswered(String partId) {
    return cancelled.contains(partId) || byPart.containsKey(partId);
  }

  /** Returns the attempt with this id, or null. */
  InFlightAttempt find(long attempt) {
    return byPart.values().stream()
        .filter(candidate -> candidate.attempt() == attempt)
        .findFirst()
        .orElse(null);
  }

  /** Removes an attempt that was cancelled. */
  void remove(InFlightAttempt attempt) {
    byPart.remove(attempt.partId());
  }

  /** Remembers the part of a removed attempt, whose reply may still arrive. */
  void rememberCancelled(String partId) {
    remember(cancelled, partId, MAX_CANCELLED);
  }

  /**
   * Matches a reply with its attempt.
   *
   * @return the attempt that the reply completes, or null if the attempt was cancelled or the reply
   *     is a duplicate
   */
  InFlightAttempt onReply(String partId, boolean firstPass) throws MalformedFrameException {
    InFlightAttempt ended = byPart.get(partId);
    if (ended != null && ended.firstPass() != firstPass) {
      throw new MalformedFrameException(
          "type of the reply to part "
              + partId
              + " does not match the pass of the attempt in flight");
    }
    byPart.remove(partId);
    if (ended != null || cancelled.remove(partId)) {
      remember(answered, partId, MAX_ANSWERED);
    } else if (!answered.contains(partId)) { // the reply is not a duplicate
      throw new MalformedFrameException(
          "reply to part " + partId + ", which was not requested on this connection");
    }
    return ended;
  }

  /** Removes and returns all attempts, the oldest first. */
  List<InFlightAttempt> drain() {
    List<InFlightAttempt> drained = List.copyOf(byPart.values());
    byPart.clear();
    return drained;
  }

  private static void remember(Set<String> partIds, String partId, int limit) {
    partIds.add(partId);
    if (partIds.size() > limit) {
      Iterator<String> oldest = partIds.iterator();
      oldest.next();
      oldest.remove();
    }
  }
}

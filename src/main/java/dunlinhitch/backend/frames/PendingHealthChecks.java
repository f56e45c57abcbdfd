package dunlinhitch.backend.frames;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;

/**
 * Health checks of one connection that have no reply yet. Replies have no id and arrive in the
 * order of the requests. Not thread-safe; owned by its connection and used on the event loop only.
 */
final class PendingHealthChecks {
  private final List<Long> unsent = new ArrayList<>();
  private final Deque<Long> sent = new ArrayDeque<>();

  /** Adds a health check that waits for the connection to be established. */
  void addUnsent(long healthCheck) {
    unsent.add(healthCheck);
  }

  /** Removes and returns the health checks that waited for the connection. */
  List<Long> drainUnsent() {
    List<Long> drained = List.copyOf(unsent);
    unsent.clear();
    return drained;
  }

  /** Adds a health check that was sent. */
  void addSent(long healthCheck) {
    sent.add(healthCheck);
  }

  /** Returns the health check that the reply belongs to; empty if none is pending. */
  OptionalLong onReply() {
    Long answered = sent.poll();
    return answered == null ? OptionalLong.empty() : OptionalLong.of(answered);
  }

  boolean isEmpty() {
    return sent.isEmpty() && unsent.isEmpty();
  }

  /** Removes and returns all health checks: the sent ones, followed by the unsent ones. */
  List<Long> drain() {
    sent.addAll(unsent);
    unsent.clear();
    List<Long> drained = List.copyOf(sent);
    sent.clear();
    return drained;
  }
}

package dunlinhitch.backend;

import dunlinhitch.core.Effect.AttemptRequest;
import java.util.ArrayList;
import java.util.List;

/**
 * Calls that wait to be sent, in the order in which they arrived. Single attempts can still be
 * removed from them. Not thread-safe; its transport owns it on the event loop.
 */
public final class PendingCalls {
  private final List<List<AttemptRequest>> calls = new ArrayList<>();

  /** Creates an empty queue. */
  public PendingCalls() {}

  /** Appends a call; the list is copied. */
  public void add(List<AttemptRequest> parts) {
    calls.add(new ArrayList<>(parts));
  }

  /** Removes and returns the oldest call. The queue must not be empty. */
  public List<AttemptRequest> removeFirst() {
    return calls.remove(0);
  }

  /**
   * Removes one attempt, and its call where that becomes empty.
   *
   * @return false where the attempt is not pending
   */
  public boolean remove(long attempt) {
    boolean removed =
        calls.stream().anyMatch(parts -> parts.removeIf(part -> part.attempt() == attempt));
    calls.removeIf(List::isEmpty);
    return removed;
  }

  /** Removes and returns all calls. */
  public List<List<AttemptRequest>> drain() {
    List<List<AttemptRequest>> drained = List.copyOf(calls);
    calls.clear();
    return drained;
  }

  /** True where no call is pending. */
  public boolean isEmpty() {
    return calls.isEmpty();
  }

  /** The number of pending calls. */
  public int size() {
    return calls.size();
  }

  /** The number of attempts in all pending calls. */
  public int attemptCount() {
    return calls.stream().mapToInt(List::size).sum();
  }
}

package dunlinhitch.backend;

import dunlinhitch.core.Effect.AttemptRequest;
import java.util.ArrayList;
import java.util.List;

/**
 * Calls that wait to be sent, in the order in which they arrived. Individual attempts can be
 * removed while they wait. Not thread-safe; owned by its transport and used on the event loop only.
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
   * Removes one attempt, and its call if no attempt is left in it.
   *
   * @return false if the attempt is not pending
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

  /** True if no call is pending. */
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

package dunlinhitch.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the attempts to be sent at the end of the turn. Attempts to the same endpoint share
 * requests, because each request costs the endpoint a fixed overhead in addition to the work of its
 * parts. Owned by the reducer; not thread-safe.
 */
final class RequestBatcher {
  private final TurnContext context;
  private final Counters counters;

  /** Unsent attempts by endpoint number, in the order of the first attempt for each endpoint. */
  private final Map<Integer, List<Effect.AttemptRequest>> unsent = new LinkedHashMap<>();

  RequestBatcher(TurnContext context, Counters counters) {
    this.context = context;
    this.counters = counters;
  }

  void add(int endpoint, Effect.AttemptRequest attempt) {
    unsent.computeIfAbsent(endpoint, number -> new ArrayList<>()).add(attempt);
  }

  /** Removes an attempt; returns false if it was already sent in an earlier turn. */
  boolean remove(InFlightAttempt attempt) {
    List<Effect.AttemptRequest> waiting = unsent.get(attempt.endpoint().number);
    return waiting != null && waiting.removeIf(request -> request.attempt() == attempt.id());
  }

  /** Removes and returns the unsent attempts for an endpoint. */
  List<Effect.AttemptRequest> removeAll(int endpoint) {
    List<Effect.AttemptRequest> removed = unsent.remove(endpoint);
    return removed == null ? List.of() : removed;
  }

  /** The numbers of the endpoints with unsent attempts. */
  List<Integer> endpoints() {
    return List.copyOf(unsent.keySet());
  }

  /**
   * Sends all attempts, with up to as many parts per request as the settings allow.
   *
   * @param twoPhases whether the attempts may include first passes, which are sent in separate
   *     requests
   */
  void flush(boolean twoPhases) {
    unsent.forEach(
        (endpoint, attempts) -> {
          if (twoPhases) {
            send(endpoint, attempts.stream().filter(attempt -> !attempt.firstPass()).toList());
            send(endpoint, attempts.stream().filter(Effect.AttemptRequest::firstPass).toList());
          } else {
            send(endpoint, attempts);
          }
          counters.add(Counter.ATTEMPTS_SENT, attempts.size());
        });
    unsent.clear();
  }

  private void send(int endpoint, List<Effect.AttemptRequest> attempts) {
    int batchSize = context.settings().layout().partsPerCall();
    for (int from = 0; from < attempts.size(); from += batchSize) {
      int to = Math.min(attempts.size(), from + batchSize);
      context.emit(new Effect.SendRequest(endpoint, attempts.subList(from, to)));
      counters.add(Counter.REQUESTS_SENT);
    }
  }
}

package dunlinhitch.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Attempts that leave at the end of the turn. Those to one endpoint share requests, for a request
 * costs the endpoint work beside that of its parts.
 */
final class RequestBatcher {
  private final TurnContext context;
  private final Counters counters;

  /** By endpoint number, in the order of the first attempt for each. */
  private final Map<Integer, List<Effect.AttemptRequest>> unsent = new LinkedHashMap<>();

  RequestBatcher(TurnContext context, Counters counters) {
    this.context = context;
    this.counters = counters;
  }

  void add(int endpoint, Effect.AttemptRequest attempt) {
    unsent.computeIfAbsent(endpoint, number -> new ArrayList<>()).add(attempt);
  }

  /** Removes an attempt; false where it has left in an earlier turn. */
  boolean remove(InFlightAttempt attempt) {
    List<Effect.AttemptRequest> waiting = unsent.get(attempt.endpoint().number);
    return waiting != null && waiting.removeIf(request -> request.attempt() == attempt.id());
  }

  /** Removes and returns what was to leave for that endpoint. */
  List<Effect.AttemptRequest> removeAll(int endpoint) {
    List<Effect.AttemptRequest> removed = unsent.remove(endpoint);
    return removed == null ? List.of() : removed;
  }

  /** The numbers of the endpoints for which something is to leave. */
  List<Integer> endpoints() {
    return List.copyOf(unsent.keySet());
  }

  /**
   * Sends everything, in requests of as many parts as the settings allow.
   *
   * @param twoPhases whether first passes may be among the attempts; a request holds one phase only
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

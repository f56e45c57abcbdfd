package dunlinhitch.core;

import java.util.ArrayList;
import java.util.List;

/** One query between its arrival and its response. Owned by the reducer; not thread-safe. */
final class InFlightQuery {
  /** Tolerance for comparing sums of part weights, which are binary fractions of 1. */
  static final double WEIGHT_TOLERANCE = 0.0001;

  /** The number that the load balancer knows it by. */
  final int number;

  /** The frontend's number for the exchange that waits for the response. */
  final long exchange;

  final QueryRequest request;

  /** Parts of the first (or only) step, in the order of the request. */
  final List<InFlightPart> parts = new ArrayList<>();

  /**
   * Parts of the second step, once the first is closed; values of the first step are then no longer
   * part of the response.
   */
  final List<InFlightPart> secondStepParts = new ArrayList<>();

  /** The result of the first step, null before the second begins. */
  Effect.FirstStep firstStep;

  /** Attempts allowed for each part by the settings in force when the query arrived. */
  final int attemptLimit;

  InFlightQuery(int number, long exchange, QueryRequest request, int attemptLimit) {
    this.number = number;
    this.exchange = exchange;
    this.request = request;
    this.attemptLimit = attemptLimit;
  }

  /** The parts of the step that is under way. */
  List<InFlightPart> currentParts() {
    return firstStep == null ? parts : secondStepParts;
  }

  /** All parts that were ever opened for this query. */
  List<InFlightPart> allParts() {
    if (secondStepParts.isEmpty()) {
      return parts;
    }
    List<InFlightPart> all = new ArrayList<>(parts);
    all.addAll(secondStepParts);
    return all;
  }

  /** The values received in the current step, whether served or pruned. */
  List<QueryResponse.PartValue> receivedValues() {
    return currentParts().stream()
        .filter(part -> part.value != null)
        .map(part -> new QueryResponse.PartValue(part.request.shard(), part.value))
        .toList();
  }

  private double receivedWeight() {
    return currentParts().stream()
        .filter(part -> part.value != null)
        .mapToDouble(part -> part.request.weight())
        .sum();
  }

  /**
   * Whether the received values may be given as a response: from the class's floor on; in a second
   * step only with every part where the floor is not below the need.
   */
  boolean isAnswerable() {
    double minimumWeight =
        firstStep != null && request.queryClass().floor() >= request.queryClass().need()
            ? 1
            : request.queryClass().floor();
    return currentParts().stream().anyMatch(part -> part.value != null)
        && receivedWeight() >= minimumWeight - WEIGHT_TOLERANCE;
  }

  /**
   * Whether a response made now may be marked complete. After a second step that needs a complete
   * first step and a value of every part.
   */
  boolean isComplete() {
    return firstStep == null
        ? receivedWeight() >= request.queryClass().need() - WEIGHT_TOLERANCE
        : firstStep.complete() && secondStepParts.stream().allMatch(part -> part.value != null);
  }
}

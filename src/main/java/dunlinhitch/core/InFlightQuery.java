package dunlinhitch.core;

import java.util.ArrayList;
import java.util.List;

/** A query from its arrival to its response. Owned by the reducer; not thread-safe. */
final class InFlightQuery {
  /** Tolerance for comparing sums of part weights, which are subject to floating-point rounding. */
  static final double WEIGHT_TOLERANCE = 0.0001;

  /** The number that identifies the query to the load balancer. */
  final int number;

  /** The frontend's number for the exchange that is waiting for the response. */
  final long exchange;

  final QueryRequest request;

  /** Parts of the first or only step, in the order of the request. */
  final List<InFlightPart> parts = new ArrayList<>();

  /**
   * Parts of the second step; empty until the first step is closed. Once there are any, the
   * response consists of the values of the second step only.
   */
  final List<InFlightPart> secondStepParts = new ArrayList<>();

  /** The result of the first step; null until the second step starts. */
  Effect.FirstStep firstStep;

  /** Whether this process has claimed the id among the processes of this broker. */
  boolean idClaimed;

  /** Maximum number of attempts per part under the settings in effect when the query arrived. */
  final int attemptLimit;

  InFlightQuery(int number, long exchange, QueryRequest request, int attemptLimit) {
    this.number = number;
    this.exchange = exchange;
    this.request = request;
    this.attemptLimit = attemptLimit;
  }

  /** The parts of the current step. */
  List<InFlightPart> currentParts() {
    return firstStep == null ? parts : secondStepParts;
  }

  /** All parts of this query, of both steps. */
  List<InFlightPart> allParts() {
    if (secondStepParts.isEmpty()) {
      return parts;
    }
    List<InFlightPart> all = new ArrayList<>(parts);
    all.addAll(secondStepParts);
    return all;
  }

  /** Whether an endpoint may have executed a part of this query. */
  boolean mayHaveExecuted() {
    return allParts().stream().anyMatch(part -> part.earliestExecutionUs != InFlightPart.NEVER);
  }

  /** The values available in the current step, for served and pruned parts alike. */
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
   * Whether the received values may be sent as a response. Their total weight must reach the {@code
   * floor} of the query's class. The second step has a stricter condition if the class allows no
   * partial answers, that is, if its {@code floor} is not below its {@code need}: every part of the
   * second step must then have a value.
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
   * Whether a response sent now may be marked complete. For a query with a second step, this
   * requires a complete first step and a value for every part of the second step.
   */
  boolean isComplete() {
    return firstStep == null
        ? receivedWeight() >= request.queryClass().need() - WEIGHT_TOLERANCE
        : firstStep.complete() && secondStepParts.stream().allMatch(part -> part.value != null);
  }
}

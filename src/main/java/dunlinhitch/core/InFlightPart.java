package dunlinhitch.core;

/** One part (shard) of an in-flight query. Owned by the reducer; not thread-safe. */
final class InFlightPart {
  /** Value of the time fields below while no attempt qualifies. */
  static final long NEVER = -1;

  /** The number that the load balancer knows it by; another one after its first pass. */
  int number;

  final InFlightQuery query;
  final QueryRequest.PartRequest request;

  /** The identifier that endpoints are sent. */
  final String id;

  /** Attempts started under the present number. */
  int attemptsStarted;

  /** Attempts started under an earlier number, in the first pass. */
  int firstPassAttempts;

  /** True while only the first pass is asked for: whether the shard has any record. */
  boolean inFirstPass;

  /** Attempts that are in flight. */
  int attemptsInFlight;

  /** Attempts that have ended here and that endpoints may still have. */
  int unconfirmedAttempts;

  /**
   * When the earliest attempt that may have been executed was sent, in flight or ended, in
   * microseconds; below 0: none.
   */
  long earliestExecutionUs = NEVER;

  /** The same over attempts that have ended. */
  long earliestEndedExecutionUs = NEVER;

  /** The value received, null before. */
  String value;

  /** The rank that the endpoint gave with the value, NaN where that was no number. */
  double score = Double.NaN;

  /** True once nothing waits for this part any more. */
  boolean closed;

  /** True for a part of its query's second step. */
  final boolean inSecondStep;

  /** Opens a part of the query's current step. */
  InFlightPart(int number, InFlightQuery query, QueryRequest.PartRequest request) {
    this.number = number;
    this.query = query;
    this.request = request;
    inSecondStep = query.firstStep != null;
    id = query.request.id() + "." + request.shard() + (inSecondStep ? ".r" : "");
  }
}

package dunlinhitch.core;

/** One part (shard) of an in-flight query. Owned by the reducer; not thread-safe. */
final class InFlightPart {
  /**
   * Value of {@link #earliestExecutionUs} and {@link #earliestEndedExecutionUs} if the part has no
   * attempt of the kind that the field describes.
   */
  static final long NEVER = -1;

  /** The number that identifies the part to the load balancer; it changes after the first pass. */
  int number;

  final InFlightQuery query;
  final QueryRequest.PartRequest request;

  /** The identifier sent to endpoints. */
  final String id;

  /** Number of attempts started under the current number. */
  int attemptsStarted;

  /** Number of attempts started under an earlier number, in the first pass. */
  int firstPassAttempts;

  /**
   * True during the first pass, which only determines whether the shard has any matching record.
   */
  boolean inFirstPass;

  /** Number of attempts in flight. */
  int attemptsInFlight;

  /** Number of attempts that have ended at this broker but that endpoints may still execute. */
  int unconfirmedAttempts;

  /**
   * Time at which the earliest attempt that may have been executed was sent, whether it is in
   * flight or has ended, in microseconds; negative if there is none.
   */
  long earliestExecutionUs = NEVER;

  /** Like {@link #earliestExecutionUs}, restricted to attempts that have ended. */
  long earliestEndedExecutionUs = NEVER;

  /** The value of the part; null until it is received. */
  String value;

  /** The score received with the value; NaN if the endpoint returned no number. */
  double score = Double.NaN;

  /** True once the result of this part is no longer needed. */
  boolean closed;

  /** True if the part belongs to the second step of its query. */
  final boolean inSecondStep;

  /** Creates a part of the query's current step. */
  InFlightPart(int number, InFlightQuery query, QueryRequest.PartRequest request) {
    this.number = number;
    this.query = query;
    this.request = request;
    inSecondStep = query.firstStep != null;
    id = query.request.id() + "." + request.shard() + (inSecondStep ? ".r" : "");
  }
}

package dunlinhitch.endpoints;

/**
 * The reason for the status of an endpoint. The constants for conflicts must be declared in order
 * of decreasing severity, because {@link ClaimConflicts#moreSevere} relies on this order.
 */
public enum StatusReason {
  CLAIMED("claimed by a source"),
  STALE_CLAIM("its claims have expired and stay in use while its source is unavailable"),
  DRAINING("reported as draining by a source"),
  WITHDRAWN_BY_SOURCE("withdrawn by its source"),
  CLAIM_EXPIRED("its expired claims were not renewed in time"),
  SOURCE_REMOVED("its source was removed"),
  CELL_CONFLICT("two claims name different cells"),
  ADDRESS_CONFLICT("two claims name different addresses"),
  START_TIME_CONFLICT("two claims name different start times"),
  SHARED_ADDRESS("another endpoint has the same address"),
  FLAPPING("suppressed by flap damping after repeated withdrawals"),
  NOT_CLAIMED("not claimed by any source");

  private final String message;

  StatusReason(String message) {
    this.message = message;
  }

  /** The description of the reason for operators. */
  public String message() {
    return message;
  }
}

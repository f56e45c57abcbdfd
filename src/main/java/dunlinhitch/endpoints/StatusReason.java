package dunlinhitch.endpoints;

/**
 * Why an endpoint has its status. The constants of conflicts are declared from the most severe on;
 * {@link ClaimConflicts#moreSevere} relies on their order.
 */
public enum StatusReason {
  CLAIMED("it is claimed"),
  STALE_CLAIM("its records are past their time and its source is silent"),
  DRAINING("it drains"),
  WITHDRAWN_BY_SOURCE("its record was withdrawn"),
  CLAIM_EXPIRED("its records ran out and its source stayed silent"),
  SOURCE_REMOVED("its source is no longer used"),
  CELL_CONFLICT("two claims name other cells"),
  ADDRESS_CONFLICT("two claims name other addresses"),
  START_TIME_CONFLICT("two claims name other starts"),
  SHARED_ADDRESS("another id is at the same address"),
  FLAPPING("it came and went too often"),
  NOT_CLAIMED("nobody claims it");

  private final String message;

  StatusReason(String message) {
    this.message = message;
  }

  /** The text for operators. */
  public String message() {
    return message;
  }
}

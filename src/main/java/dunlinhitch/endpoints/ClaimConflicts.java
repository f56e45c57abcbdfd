package dunlinhitch.endpoints;

/** Detects conflicts between two claims on the same endpoint. */
final class ClaimConflicts {
  private ClaimConflicts() {}

  /**
   * Returns the most severe conflict between the two descriptions of an endpoint, or null if they
   * agree.
   */
  static StatusReason between(Endpoint one, Endpoint other) {
    if (one.cell() != other.cell()) {
      return StatusReason.CELL_CONFLICT;
    }
    if (!one.sameAddress(other) || one.zone() != other.zone()) {
      return StatusReason.ADDRESS_CONFLICT;
    }
    boolean bothStartsClaimed = one.startedUs() != 0 && other.startedUs() != 0;
    if (bothStartsClaimed && one.startedUs() != other.startedUs()) {
      return StatusReason.START_TIME_CONFLICT;
    }
    return null;
  }

  /** Returns the more severe of two conflicts; null means no conflict. */
  static StatusReason moreSevere(StatusReason one, StatusReason other) {
    if (one == null) {
      return other;
    }
    // StatusReason declares the constants for conflicts in order of decreasing severity.
    return other != null && other.compareTo(one) < 0 ? other : one;
  }
}

package dunlinhitch.endpoints;

/** Finds contradictions between two claims on one endpoint. */
final class ClaimConflicts {
  private ClaimConflicts() {}

  /** The most severe contradiction between the two, or null if they agree. */
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

  /** The more severe of two conflicts, either of which may be null for none. */
  static StatusReason moreSevere(StatusReason one, StatusReason other) {
    if (one == null) {
      return other;
    }
    // the constants of conflicts are declared in order of decreasing severity
    return other != null && other.compareTo(one) < 0 ? other : one;
  }
}

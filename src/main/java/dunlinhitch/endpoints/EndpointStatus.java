package dunlinhitch.endpoints;

/** The status of an endpoint, derived from all claims on it. */
public enum EndpointStatus {
  /** Claimed, but suppressed by flap damping: it gets no requests yet. */
  ANNOUNCED(false),
  /** It serves. */
  LIVE(true),
  /** It serves on the basis of an expired claim, because its source is unavailable. */
  STALE(true),
  /** It gets no new work, at its own or its source's request. */
  DRAINING(true),
  /** Claims on it contradict each other: it gets no requests until the conflict ends. */
  DISPUTED(false),
  /** Disputed or announced, but serving because its shards have no other endpoint. */
  STANDING_IN(true),
  /** Withdrawn: no new requests from now on; remembered for a while, because it may return. */
  WITHDRAWN(false),
  /** Not part of the list. */
  GONE(false);

  private final boolean usesClaimedState;

  EndpointStatus(boolean usesClaimedState) {
    this.usesClaimedState = usesClaimedState;
  }

  /** Whether the published state is the claimed one (ready or draining). */
  boolean usesClaimedState() {
    return usesClaimedState;
  }
}

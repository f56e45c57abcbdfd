package dunlinhitch.endpoints;

/** The status of an endpoint after all claims on it are weighed. */
public enum EndpointStatus {
  /** Claimed, but suppressed by flap damping: it gets no requests yet. */
  ANNOUNCED(false),
  /** It serves. */
  LIVE(true),
  /** It serves by an expired claim, because its source is unavailable. */
  STALE(true),
  /** By its own or its source's request it gets no new work. */
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

  /** True where the published state is the claimed one (ready or draining). */
  boolean usesClaimedState() {
    return usesClaimedState;
  }
}

package dunlinhitch.endpoints;

/** The status of an endpoint, derived from all claims on it. */
public enum EndpointStatus {
  /** The endpoint is claimed, but suppressed by flap damping. It gets no requests yet. */
  ANNOUNCED(false),
  /** The endpoint serves requests. */
  LIVE(true),
  /**
   * The endpoint serves requests although its claim has expired, because its source may be
   * unavailable.
   */
  STALE(true),
  /** The endpoint gets no new work, because its source reports it as draining. */
  DRAINING(true),
  /** Claims on the endpoint are in conflict. It gets no requests until the conflict ends. */
  DISPUTED(false),
  /**
   * The endpoint is disputed or announced, but serves requests as a substitute, because no other
   * endpoint serves its shards.
   */
  STANDING_IN(true),
  /**
   * The endpoint was withdrawn and gets no new requests. It is remembered for the linger time,
   * because it may return.
   */
  WITHDRAWN(false),
  /** The endpoint is not on the list. */
  GONE(false);

  private final boolean usesClaimedState;

  EndpointStatus(boolean usesClaimedState) {
    this.usesClaimedState = usesClaimedState;
  }

  /** Whether the endpoint is published with its claimed state (ready or draining). */
  boolean usesClaimedState() {
    return usesClaimedState;
  }
}

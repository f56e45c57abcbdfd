package dunlinhitch.cluster.gossip;

import dunlinhitch.core.Counter;

/**
 * Thrown for a datagram that is not a valid gossip message of this version. The whole datagram is
 * dropped; later messages disseminate the same updates again.
 */
final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why a datagram was dropped; each reason is shown to operators by a counter. */
  enum Reason {
    /** Truncated or changed in transit. */
    CORRUPT(Counter.GOSSIP_TRUNCATED),
    /** Of a newer version: its sender was upgraded before this broker. */
    NEWER_VERSION(Counter.GOSSIP_OTHER_VERSION),
    /** Of an older version: its sender is upgraded after this broker. */
    OLDER_VERSION(Counter.GOSSIP_UNREADABLE),
    /** Not a gossip message, or one with an invalid field. */
    INVALID(Counter.GOSSIP_UNREADABLE);

    private final Counter counter;

    Reason(Counter counter) {
      this.counter = counter;
    }

    Counter counter() {
      return counter;
    }
  }

  private final Reason reason;

  MalformedMessageException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  Reason reason() {
    return reason;
  }
}

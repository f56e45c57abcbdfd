package dunlinhitch.cluster.gossip;

import dunlinhitch.core.Counter;

/**
 * Thrown for a datagram that is not a valid gossip message of the supported version. The whole
 * datagram is dropped. Later messages disseminate the same updates again.
 */
final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The reason why a datagram was dropped, with the counter that reports it to operators. */
  enum Reason {
    /** The datagram was truncated or changed in transit. */
    CORRUPT(Counter.GOSSIP_TRUNCATED),
    /** The message has a newer version, because the sender was upgraded before this broker. */
    NEWER_VERSION(Counter.GOSSIP_OTHER_VERSION),
    /** The message has an older version, because the sender has not been upgraded yet. */
    OLDER_VERSION(Counter.GOSSIP_UNREADABLE),
    /** The datagram is not a gossip message, or a field of the message is invalid. */
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

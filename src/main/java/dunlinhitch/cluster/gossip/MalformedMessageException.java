package dunlinhitch.cluster.gossip;

import dunlinhitch.core.Counter;

/**
 * A datagram that is no word of this version. Nothing of it is taken: the next look tells again
 * what it told.
 */
final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why, as operators tell the kinds apart. */
  enum Why {
    /** Shorter than it was, or changed on its way. */
    CUT(Counter.PEER_WORDS_CUT),
    /** Of a later version: that broker was upgraded before this one. */
    LATER(Counter.PEER_WORDS_LATER),
    /** Of a version before: that broker is upgraded after this one. */
    OLDER(Counter.PEER_WORDS_UNREAD),
    /** No word at all, or one that says what can not be. */
    NONSENSE(Counter.PEER_WORDS_UNREAD);

    private final Counter count;

    Why(Counter count) {
      this.count = count;
    }

    Counter count() {
      return count;
    }
  }

  private final Why why;

  MalformedMessageException(Why why, String message) {
    super(message);
    this.why = why;
  }

  Why why() {
    return why;
  }
}

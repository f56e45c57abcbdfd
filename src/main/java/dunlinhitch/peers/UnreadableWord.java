package dunlinhitch.peers;

import dunlinhitch.core.Count;

/**
 * A datagram that is no word of this version. Nothing of it is taken: the next look tells again
 * what it told.
 */
final class UnreadableWord extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why, as operators tell the kinds apart. */
  enum Why {
    /** Shorter than it was, or changed on its way. */
    CUT(Count.PEER_WORDS_CUT),
    /** Of a later version: that broker was upgraded before this one. */
    LATER(Count.PEER_WORDS_LATER),
    /** Of a version before: that broker is upgraded after this one. */
    OLDER(Count.PEER_WORDS_UNREAD),
    /** No word at all, or one that says what can not be. */
    NONSENSE(Count.PEER_WORDS_UNREAD);

    private final Count count;

    Why(Count count) {
      this.count = count;
    }

    Count count() {
      return count;
    }
  }

  private final Why why;

  UnreadableWord(Why why, String message) {
    super(message);
    this.why = why;
  }

  Why why() {
    return why;
  }
}

package dunlinhitch.answerkeys;

/** What {@link AnswerKeyModule} wants done, in the order in which it says it. */
public sealed interface Act {
  /** Why a query that waited has no answer. */
  enum Why {
    LATE,
    OUT_OF_ATTEMPTS
  }

  /**
   * The query asks a store for itself; nobody waits for that. Its answer is told by {@link
   * Keys#alone}.
   */
  record Alone(long query) implements Act {}

  /**
   * The query has the lead: it asks a store for all that wait. {@code used}: attempts that it has
   * waited for before; {@code takesOver}: the attempt of the one before it is still out, and is its
   * own now.
   */
  record Fetch(long flight, long query, int used, boolean takesOver) implements Act {}

  /** The query is answered with what was fetched for another. */
  record Give(long query, Held held) implements Act {}

  /** The query has waited and ends without an answer. */
  record End(long query, Why why) implements Act {}

  /** Nobody waits for the flight's attempt any more. */
  record GiveUp(long flight) implements Act {}

  /**
   * A word for the broker that is the key's home: who asks wants an answer by then, and goes to a
   * store itself after it.
   */
  record AskHome(String home, long flight, AnswerKey key, Ask ask, long untilUs) implements Act {}

  /**
   * For the home that had let this broker fetch, or had not answered in time; {@code held} is null
   * where nothing came of it.
   */
  record TellHome(String home, AnswerKey key, Held held) implements Act {}

  /**
   * What is known of rules is to be told to some others now, and not with the next word: one of
   * them is trusted no more.
   */
  record Spread() implements Act {}

  /** What a home says. */
  enum Said {
    ANSWER,
    FETCH,
    NOTHING
  }

  /**
   * A home's word for the broker that asked it under that number of its own; {@code held} only with
   * an answer.
   */
  record TellPeer(String peer, long flight, AnswerKey key, Said said, Held held) implements Act {}
}

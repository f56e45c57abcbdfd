package dunlinhitch.answerkeys;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one broker has seen of a rule in one epoch, all told: the later word of a broker holds all
 * of its earlier ones. {@code seen} asks that the rule would have changed, {@code equal} pairs, the
 * shards and client kinds of these, whether it suspects the rule, and why it withdrew it (empty: it
 * did not).
 */
public record Evidence(
    long seen,
    long equal,
    Set<Integer> shards,
    Set<String> kinds,
    boolean suspect,
    String withdrawn) {
  static final Evidence NONE = new Evidence(0, 0, Set.of(), Set.of(), false, "");

  /** A word has room for so many; no spread that is asked for may be wider. */
  static final int MOST_SPREAD = 16;

  public Evidence {
    shards = Collections.unmodifiableSet(new TreeSet<>(shards));
    kinds = Collections.unmodifiableSet(new TreeSet<>(kinds));
  }

  private static <T> Set<T> and(Set<T> some, Set<T> more) {
    Set<T> both = new TreeSet<>(some);
    for (T one : more) {
      if (both.size() < MOST_SPREAD) {
        both.add(one);
      }
    }
    return both;
  }

  Evidence andSeen(long most) {
    return seen >= most ? this : new Evidence(seen + 1, equal, shards, kinds, suspect, withdrawn);
  }

  /** Beyond {@code most} pairs nothing is added: what is enough need not be told again. */
  Evidence andEqual(long most, int shard, Set<String> ofKinds) {
    return new Evidence(
        seen,
        Math.min(most, equal + 1),
        and(shards, Set.of(shard)),
        and(kinds, ofKinds),
        suspect,
        withdrawn);
  }

  Evidence suspecting(boolean now) {
    return new Evidence(seen, equal, shards, kinds, now, withdrawn);
  }

  Evidence withdrawnFor(String why) {
    return new Evidence(seen, equal, shards, kinds, false, withdrawn.isEmpty() ? why : withdrawn);
  }

  /** With what the same broker had said before it was started anew. */
  Evidence and(Evidence other) {
    return new Evidence(
        Math.max(seen, other.seen),
        Math.max(equal, other.equal),
        and(shards, other.shards),
        and(kinds, other.kinds),
        suspect || other.suspect,
        withdrawn.isEmpty() ? other.withdrawn : withdrawn);
  }
}

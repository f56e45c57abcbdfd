package dunlinhitch.scoring;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Whether a scorer is asked. One that fails is left out and tried again ever more seldom; sound
 * rounds take failures back one by one. What other brokers say of it never leaves out one that is
 * sound here: it only makes a broker that had a failure of its own wait twice as long.
 */
public final class Standing {
  private final StandingRule rule;
  private final SplittableRandom random;
  private final Map<Failure, Long> counts = new EnumMap<>(Failure.class);
  private int failures;
  private int sound;
  private int slow;
  private long triedUs = Long.MIN_VALUE;
  private Failure last;
  private String reason = "";

  public Standing(StandingRule rule, long seed) {
    this.rule = rule;
    random = new SplittableRandom(seed);
  }

  /** It failed; {@code doubters}: other brokers that left the same one out. */
  public void failed(long nowUs, Failure failure, String why, int doubters) {
    counts.merge(failure, 1L, Long::sum);
    last = failure;
    reason = why;
    sound = 0;
    slow = 0;
    failures++;
    double wait =
        Math.min(
            (double) rule.mostUs(),
            rule.firstUs() * Math.pow(2, failures - 1 + (doubters > 1 ? 1 : 0)));
    triedUs = nowUs + (long) (wait * (0.8 + 0.2 * random.nextDouble()));
  }

  /** A sound round. */
  public void answered() {
    slow = 0;
    if (++sound >= rule.soundRounds()) {
      sound = 0;
      failures = Math.max(0, failures - 1);
      last = failures == 0 ? null : last;
    }
  }

  /** A round that was sound but took too long; true where that is one too many. */
  public boolean slow() {
    return ++slow >= rule.slowInARow();
  }

  /** Another jar, other parameters: nothing is held against it. */
  public void changed() {
    failures = 0;
    sound = 0;
    slow = 0;
    last = null;
    reason = "";
    triedUs = Long.MIN_VALUE;
  }

  /** True where it may be loaded or asked. */
  public boolean may(long nowUs) {
    return nowUs >= triedUs;
  }

  /** From when on it may. */
  public long mayFromUs() {
    return triedUs;
  }

  /** What it last failed of, or null. */
  public Failure last() {
    return last;
  }

  public long count(Failure failure) {
    return counts.getOrDefault(failure, 0L);
  }

  /** What is wrong and what can be done, in one line; empty where nothing is. */
  public String words(String name) {
    return last == null
        ? ""
        : "scorer "
            + name
            + " was left out ("
            + last
            + "): "
            + last.what()
            + (reason.isEmpty() ? "" : ", " + reason)
            + "; "
            + last.remedy();
  }
}

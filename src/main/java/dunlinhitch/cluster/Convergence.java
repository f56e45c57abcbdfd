package dunlinhitch.cluster;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Who was heard to hold the same digest and who another, since the own one last changed. */
final class Convergence {
  private static final int MOST_UNLIKE = 32;
  private final Set<String> alike = new HashSet<>();

  /** When they were heard to differ, or were last asked what differs. */
  private final Map<String, Long> unlike = new LinkedHashMap<>();

  private long settledUs = -1;

  /** The own digest changed. */
  void changed() {
    alike.clear();
    unlike.clear();
    settledUs = -1;
  }

  /**
   * True where what is known of the others changed by it; {@code needed}: so many alike, and none
   * unlike, and it is settled.
   */
  boolean heard(String name, boolean same, int needed, long nowUs) {
    if (!same) {
      alike.remove(name);
      settledUs = -1;
      return unlike.size() < MOST_UNLIKE && unlike.putIfAbsent(name, nowUs) == null;
    }
    boolean turned = unlike.remove(name) != null;
    if (alike.size() < needed) {
      alike.add(name);
    }
    return check(needed, nowUs) || turned;
  }

  void left(String name) {
    alike.remove(name);
    unlike.remove(name);
  }

  boolean check(int needed, long nowUs) {
    boolean settled = unlike.isEmpty() && alike.size() >= needed;
    if (settled == settledUs >= 0) {
      return false;
    }
    settledUs = settled ? nowUs : -1;
    return true;
  }

  /**
   * The one that has differed longest, for {@code forUs} or more; it is next again when so much has
   * passed.
   */
  Optional<String> toAsk(long nowUs, long forUs) {
    for (Map.Entry<String, Long> entry : unlike.entrySet()) {
      if (nowUs - entry.getValue() >= forUs) {
        String name = entry.getKey();
        unlike.remove(name);
        unlike.put(name, nowUs);
        return Optional.of(name);
      }
    }
    return Optional.empty();
  }

  Set<String> unlike() {
    return unlike.keySet();
  }

  long settledUs() {
    return settledUs;
  }
}

package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whom this broker holds for suspect, since when, and who else found the same; and which of that is
 * still to be told. A suspicion is as long as the fleet is large, and the shorter the more found it
 * on their own (Lifeguard's logarithm).
 */
final class SuspicionTable {
  /** Beside the first so many more make it as short as it gets. */
  private static final int MOST_CONFIRM = 3;

  private static final class Case {
    private final long incarnation;
    private long sinceUs;
    private final Set<String> accusers = new HashSet<>();

    Case(long incarnation, long sinceUs) {
      this.incarnation = incarnation;
      this.sinceUs = sinceUs;
    }
  }

  private final MembershipProtocolSettings settings;
  private final Map<String, Case> cases = new HashMap<>();
  private final UpdateQueue<SuspicionReport> news = new UpdateQueue<>();

  SuspicionTable(MembershipProtocolSettings settings) {
    this.settings = settings;
  }

  /** It is suspect under that incarnation from now on, where it was not. */
  void begin(String name, long incarnation, long nowUs) {
    Case held = cases.get(name);
    if (held == null || held.incarnation != incarnation) {
      end(name);
      cases.put(name, new Case(incarnation, nowUs));
    }
  }

  void end(String name) {
    Case held = cases.remove(name);
    if (held != null) {
      held.accusers.forEach(by -> news.forget(new SuspicionReport(name, held.incarnation, by)));
    }
  }

  /** True where it is news. */
  boolean accused(SuspicionReport doubt) {
    Case held = cases.get(doubt.name());
    if (held == null
        || held.incarnation != doubt.incarnation()
        || held.accusers.size() > MOST_CONFIRM
        || !held.accusers.add(doubt.by())) {
      return false;
    }
    if (settings.stretch() > 1) {
      news.fresh(doubt);
    }
    return true;
  }

  int accusers(String name) {
    Case held = cases.get(name);
    return held == null ? 0 : held.accusers.size();
  }

  /** When it counts as dead in a fleet of so many. */
  long dueUs(String name, int members, LocalHealth health) {
    Case held = cases.get(name);
    return held.sinceUs + health.stretched(lastsUs(held.accusers.size(), members));
  }

  long lastsUs(int accusers, int members) {
    if (settings.stretch() == 1) {
      return settings.suspectUs();
    }
    double shortest = settings.suspectUs() * Math.max(1, Math.log10(members));
    int confirm = Math.min(MOST_CONFIRM, members - 2);
    if (confirm <= 0) {
      return (long) shortest;
    }
    double longest = shortest * settings.stretch();
    int confirmed = Math.min(confirm, Math.max(0, accusers - 1));
    return (long)
        (longest - (longest - shortest) * Math.log(confirmed + 1) / Math.log(confirm + 1));
  }

  Set<String> names() {
    return cases.keySet();
  }

  /** This broker could not have heard them meanwhile. */
  void beginAnew(long nowUs) {
    cases.values().forEach(held -> held.sinceUs = nowUs);
  }

  /** What rides on the next word, within so many bytes; each on so many words. */
  List<SuspicionReport> riding(int most, int bytes, int times) {
    List<SuspicionReport> riding = new ArrayList<>();
    int left = bytes;
    for (SuspicionReport doubt : news.next(most)) {
      left -= doubt.bytes();
      if (left < 0) {
        break;
      }
      riding.add(doubt);
      news.rides(doubt, times);
    }
    return riding;
  }
}

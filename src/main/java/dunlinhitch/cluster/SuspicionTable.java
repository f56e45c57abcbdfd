package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The members that are suspected according to this broker's member list, with the start of each
 * suspicion and the brokers that reported it. Also holds the queue of reports to disseminate. As in
 * Lifeguard, the timeout of a suspicion grows with the size of the cluster and decreases
 * logarithmically with the number of independent reports.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}. Times are in microseconds.
 */
final class SuspicionTable {
  /**
   * The number of reports, in addition to the first, at which the timeout of a suspicion reaches
   * its minimum.
   */
  private static final int MAX_CONFIRMATIONS = 3;

  private static final class Suspicion {
    private final long incarnation;
    private long sinceUs;
    private final Set<String> accusers = new HashSet<>();

    Suspicion(long incarnation, long sinceUs) {
      this.incarnation = incarnation;
      this.sinceUs = sinceUs;
    }
  }

  private final MembershipProtocolSettings settings;
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private final UpdateQueue<SuspicionReport> pendingReports = new UpdateQueue<>();

  SuspicionTable(MembershipProtocolSettings settings) {
    this.settings = settings;
  }

  /**
   * Begins the suspicion of a member with the given incarnation; has no effect if the member is
   * already suspected.
   */
  void begin(String name, long incarnation, long nowUs) {
    Suspicion current = suspicions.get(name);
    if (current == null || current.incarnation != incarnation) {
      end(name);
      suspicions.put(name, new Suspicion(incarnation, nowUs));
    }
  }

  /** Ends the suspicion of a member that refuted it, died or left. */
  void end(String name) {
    Suspicion ended = suspicions.remove(name);
    if (ended == null) {
      return;
    }
    for (String accuser : ended.accusers) {
      pendingReports.remove(new SuspicionReport(name, ended.incarnation, accuser));
    }
  }

  /** Adds a report; returns true if it is new and concerns a current suspicion. */
  boolean addReport(SuspicionReport report) {
    Suspicion suspicion = suspicions.get(report.name());
    if (suspicion == null
        || suspicion.incarnation != report.incarnation()
        || suspicion.accusers.size() > MAX_CONFIRMATIONS
        || !suspicion.accusers.add(report.reporter())) {
      return false;
    }
    if (settings.suspicionMultiplier() > 1) {
      pendingReports.enqueue(report);
    }
    return true;
  }

  /** The number of brokers that are known to suspect the member. */
  int accusers(String name) {
    Suspicion suspicion = suspicions.get(name);
    return suspicion == null ? 0 : suspicion.accusers.size();
  }

  /**
   * The time at which the suspected member has to be declared dead, given the size of the cluster.
   */
  long deadlineUs(String name, int members, LocalHealth localHealth) {
    Suspicion suspicion = suspicions.get(name);
    return suspicion.sinceUs + localHealth.scale(timeoutUs(suspicion.accusers.size(), members));
  }

  /** The timeout of a suspicion, given its number of accusers and the size of the cluster. */
  long timeoutUs(int accusers, int members) {
    if (settings.suspicionMultiplier() == 1) {
      return settings.suspicionTimeoutUs();
    }
    double shortest = settings.suspicionTimeoutUs() * Math.max(1, Math.log10(members));
    int requiredConfirmations = Math.min(MAX_CONFIRMATIONS, members - 2);
    if (requiredConfirmations <= 0) {
      return (long) shortest;
    }
    double longest = shortest * settings.suspicionMultiplier();
    int confirmations = Math.min(requiredConfirmations, Math.max(0, accusers - 1));
    return (long)
        (longest
            - (longest - shortest)
                * Math.log(confirmations + 1)
                / Math.log(requiredConfirmations + 1));
  }

  /** The names of the suspected members; a live view. */
  Set<String> names() {
    return suspicions.keySet();
  }

  /**
   * Restarts the timeouts of all suspicions. Called after a stall, during which this broker could
   * not receive refutations.
   */
  void restartAll(long nowUs) {
    suspicions.values().forEach(suspicion -> suspicion.sinceUs = nowUs);
  }

  /**
   * Returns the reports for the next message and counts them as transmitted.
   *
   * @param limit the maximum number of reports
   * @param maxBytes their maximum total size
   * @param transmissions the number of transmissions after which a report is removed from the queue
   */
  List<SuspicionReport> nextReports(int limit, int maxBytes, int transmissions) {
    List<SuspicionReport> chosen = new ArrayList<>();
    int remaining = maxBytes;
    for (SuspicionReport report : pendingReports.leastTransmitted(limit)) {
      remaining -= report.bytes();
      if (remaining < 0) {
        break;
      }
      chosen.add(report);
      pendingReports.recordTransmission(report, transmissions);
    }
    return chosen;
  }
}

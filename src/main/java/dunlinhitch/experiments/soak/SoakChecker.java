package dunlinhitch.experiments.soak;

import dunlinhitch.experiments.soak.Observation.AttemptOver;
import dunlinhitch.experiments.soak.Observation.AttemptRead;
import dunlinhitch.experiments.soak.Observation.AttemptSent;
import dunlinhitch.experiments.soak.Observation.BrokerStopped;
import dunlinhitch.experiments.soak.Observation.EndpointTold;
import dunlinhitch.experiments.soak.Observation.RequestEnd;
import dunlinhitch.experiments.soak.Observation.RequestEnded;
import dunlinhitch.experiments.soak.Observation.RequestSent;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the observations of one run against the rules. The result depends only on the limits and
 * the observations. An instance checks one run and is not thread-safe.
 */
public final class SoakChecker {
  /**
   * Microseconds that the timed rules tolerate between the times at which a broker reads its clock
   * and writes to a connection.
   */
  static final long STALL_US = 150_000;

  /**
   * Grace period after a client has closed its connection. Attempts of its request may still start
   * within this time.
   */
  static final long DEPARTURE_GRACE_US = 100_000;

  /**
   * Grace period after the deadline of a request. An answer that arrives after this period violates
   * {@link SoakRule#ONE_ANSWER}.
   */
  static final long ANSWER_GRACE_US = 500_000;

  /**
   * Minimum share of served requests. The share excludes requests whose client closed its
   * connection, and requests whose broker was asked to terminate before the answer was due.
   */
  static final double MIN_SERVED_SHARE = 0.3;

  /**
   * A violation of a rule.
   *
   * @param subject the query, or the served and total counts for {@link SoakRule#SERVED_SHARE}
   * @param timeline all observations of the subject
   */
  public record Breach(SoakRule rule, String subject, List<String> timeline) {}

  /**
   * The limits that a run must observe.
   *
   * @param parallelAttempts whether a part may have several attempts in flight
   * @param maxAttempts maximum number of attempts of a part
   * @param drainGraceUs time after the notification of a drain within which attempts may still
   *     start
   * @param idempotentClass the query class with idempotency keys
   * @param windowUs the deduplication window of that class
   */
  public record Limits(
      boolean parallelAttempts,
      int maxAttempts,
      long drainGraceUs,
      String idempotentClass,
      long windowUs) {}

  private final Limits limits;
  private final List<Observation> observations;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<String, RequestSent> requests = new HashMap<>();
  private final Map<String, RequestEnded> ends = new HashMap<>();
  private final Map<String, Integer> attemptCounts = new HashMap<>();
  private final Map<String, Long> firstAttemptsUs = new HashMap<>();
  private final Map<String, Set<String>> attemptsAtStores = new HashMap<>();
  private final Map<String, Long> unavailableSinceUs = new HashMap<>();
  private final Map<String, Long> stoppedUs = new HashMap<>();

  private SoakChecker(Limits limits, List<Observation> observations) {
    this.limits = limits;
    this.observations =
        observations.stream().sorted(Comparator.comparingLong(Observation::atUs)).toList();
  }

  /** Returns the violations of the rules in the order in which they are found. */
  public static List<Breach> check(Limits limits, List<Observation> observations) {
    SoakChecker checker = new SoakChecker(limits, observations);
    checker.observations.forEach(checker::handle);
    checker.checkAnswers();
    return checker.breaches;
  }

  private void handle(Observation observation) {
    if (observation instanceof RequestSent sent) {
      requests.put(sent.query(), sent);
    } else if (observation instanceof RequestEnded ended) {
      if (ends.put(ended.query(), ended) != null) {
        report(SoakRule.ONE_ANSWER, ended.query());
      }
    } else if (observation instanceof AttemptSent sent) {
      onAttemptSent(sent);
    } else if (observation instanceof AttemptRead read) {
      onAttemptRead(read);
    } else if (observation instanceof AttemptOver over) {
      connectionsOf(over.part()).remove(connectionKey(over.store(), over.connection()));
    } else if (observation instanceof EndpointTold told) {
      onEndpointTold(told);
    } else if (observation instanceof BrokerStopped stopped) {
      stoppedUs.putIfAbsent(stopped.broker(), stopped.atUs());
    }
  }

  private void onEndpointTold(EndpointTold told) {
    String key = told.broker() + " " + told.store();
    if (told.ready()) {
      unavailableSinceUs.remove(key);
    } else {
      unavailableSinceUs.putIfAbsent(key, told.atUs());
    }
  }

  private void onAttemptSent(AttemptSent sent) {
    if (attemptCounts.merge(sent.part(), 1, Integer::sum) > limits.maxAttempts()) {
      report(SoakRule.ATTEMPT_LIMIT, sent.subject());
    }
    Long unavailable = unavailableSinceUs.get(sent.broker() + " " + sent.store());
    if (unavailable != null && sent.atUs() > unavailable + limits.drainGraceUs() + STALL_US) {
      report(SoakRule.DRAIN, sent.subject());
    }
    RequestSent request = requests.get(sent.subject());
    if (request == null) {
      return;
    }
    RequestEnded end = ends.get(sent.subject());
    if (end != null
        && end.end() == RequestEnd.LEFT
        && sent.atUs() > end.atUs() + DEPARTURE_GRACE_US + STALL_US) {
      report(SoakRule.DEPARTED_CLIENT, sent.subject());
    }
    long leftUs = request.atUs() + request.timeoutUs() - sent.atUs();
    if (sent.timeoutUs() > Math.max(0, leftUs) + STALL_US) {
      report(SoakRule.DEADLINE, sent.subject());
    }
    Long first = firstAttemptsUs.putIfAbsent(sent.part(), sent.atUs());
    if (first != null
        && request.queryClass().equals(limits.idempotentClass())
        && sent.atUs() > first + limits.windowUs() + STALL_US) {
      report(SoakRule.WINDOW, sent.subject());
    }
  }

  private void onAttemptRead(AttemptRead read) {
    Set<String> connections = connectionsOf(read.part());
    if (!connections.isEmpty() && !limits.parallelAttempts()) {
      report(SoakRule.ONE_ATTEMPT_AT_A_TIME, read.subject());
    }
    connections.add(connectionKey(read.store(), read.connection()));
  }

  private Set<String> connectionsOf(String part) {
    return attemptsAtStores.computeIfAbsent(part, key -> new HashSet<>());
  }

  private static String connectionKey(String store, int connection) {
    return store + " " + connection;
  }

  private void checkAnswers() {
    int expected = 0;
    int served = 0;
    for (RequestSent request : requests.values()) {
      RequestEnded end = ends.get(request.query());
      if (isExcused(request, end)) {
        continue;
      }
      boolean late = end != null && end.atUs() > dueUs(request) + ANSWER_GRACE_US;
      if (end == null || end.end() == RequestEnd.BROKEN || late) {
        report(SoakRule.ONE_ANSWER, request.query());
        continue;
      }
      expected++;
      served += end.end() == RequestEnd.SERVED ? 1 : 0;
    }
    if (served < MIN_SERVED_SHARE * expected) {
      report(SoakRule.SERVED_SHARE, served + " of " + expected);
    }
  }

  private static long dueUs(RequestSent request) {
    return request.atUs() + request.timeoutUs();
  }

  /**
   * Returns true if the client closed its connection, or if the broker was asked to terminate
   * before the answer was due.
   */
  private boolean isExcused(RequestSent request, RequestEnded end) {
    Long stopped = stoppedUs.get(request.broker());
    return (end != null && end.end() == RequestEnd.LEFT)
        || (stopped != null && dueUs(request) + ANSWER_GRACE_US >= stopped);
  }

  private void report(SoakRule rule, String subject) {
    List<String> timeline =
        observations.stream()
            .filter(observation -> observation.subject().equals(subject))
            .map(Observation::toString)
            .toList();
    breaches.add(new Breach(rule, subject, timeline));
  }
}

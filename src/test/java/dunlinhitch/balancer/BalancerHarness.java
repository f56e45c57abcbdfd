package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Feeds events to a load balancer on a virtual clock and records its actions. Attempts are
 * completed only by the test.
 */
final class BalancerHarness implements BalancerActions {
  record SentAttempt(int part, int attempt, int server, long atUs, long dueUs) {
    long timeoutUs() {
      return dueUs - atUs;
    }
  }

  /** Client timeout used by most tests. */
  static final long CLIENT_TIMEOUT_US = 3_000_000;

  /** The attempts sent so far; a test may clear it. */
  final List<SentAttempt> sends = new ArrayList<>();

  /** The other actions so far, as lines such as "answer 1 complete" or "cancel 100 0". */
  final List<String> actions = new ArrayList<>();

  final LoadBalancer loadBalancer;
  private final Map<Integer, Integer> attempts = new HashMap<>();
  private final Map<Long, List<Long>> timers = new TreeMap<>();
  long nowUs = 1_000_000_000L;
  private int nextQuery = 1;

  BalancerHarness(Settings settings) {
    this(settings, 7);
  }

  BalancerHarness(Settings settings, long seed) {
    loadBalancer = new LoadBalancer(settings, seed, this);
    handle(new BalancerEvent.Started());
  }

  /** A harness with one ready server in each of two cells, which hold the same shards. */
  static BalancerHarness withTwoServers(SettingsBuilder settings) {
    BalancerHarness balancer = new BalancerHarness(settings.build());
    balancer.replaceServers(ServerEntries.ready(1, 0), ServerEntries.ready(2, 1));
    return balancer;
  }

  void answerAll() {
    for (SentAttempt attempt : new ArrayList<>(sends)) {
      complete(attempt, AttemptOutcome.OK);
    }
  }

  /**
   * Answers the given number of queries in time so that latency estimates are built up, then clears
   * the recorded sends and actions.
   */
  void answerQueries(int queries) {
    for (int i = 0; i < queries; i++) {
      int from = sends.size();
      query(0, CLIENT_TIMEOUT_US, 0);
      advance(100_000);
      for (SentAttempt attempt : new ArrayList<>(sends.subList(from, sends.size()))) {
        complete(attempt, AttemptOutcome.OK);
      }
    }
    sends.clear();
    actions.clear();
  }

  void handle(BalancerEvent event) {
    loadBalancer.on(nowUs, event);
  }

  /** Advances the clock and fires the timers that become due. */
  void advance(long us) {
    long end = nowUs + us;
    while (!timers.isEmpty() && timers.keySet().iterator().next() <= end) {
      long at = timers.keySet().iterator().next();
      nowUs = Math.max(nowUs, at);
      for (long token : timers.remove(at)) {
        handle(new BalancerEvent.TimerFired(token));
      }
    }
    nowUs = end;
  }

  void replaceServers(ServerEntry... entries) {
    handle(new BalancerEvent.ServerListUpdated(ServerListKind.FULL, List.of(entries)));
  }

  void updateServers(ServerEntry... entries) {
    handle(new BalancerEvent.ServerListUpdated(ServerListKind.DELTA, List.of(entries)));
  }

  /**
   * Sends a query with one part of equal weight for each shard and returns its id; the ids of the
   * parts are id * 100 + i.
   */
  int query(int queryClass, long timeoutUs, int... shards) {
    int id = nextQuery++;
    handle(
        new BalancerEvent.QueryArrived(
            id, id, queryClass, 0, shards.length, nowUs + timeoutUs, 0, false));
    for (int i = 0; i < shards.length; i++) {
      handle(new BalancerEvent.PartArrived(id * 100 + i, id, shards[i], 1.0 / shards.length, 0));
    }
    return id;
  }

  void complete(SentAttempt attempt, AttemptOutcome outcome, float... report) {
    handle(
        new BalancerEvent.AttemptCompleted(
            attempt.part(),
            attempt.attempt(),
            outcome,
            attempt.server(),
            nowUs - attempt.atUs(),
            outcome == AttemptOutcome.OK,
            report));
  }

  SentAttempt lastSent() {
    return sends.get(sends.size() - 1);
  }

  List<Integer> serversOf(int part) {
    return sends.stream()
        .filter(attempt -> attempt.part() == part)
        .map(SentAttempt::server)
        .toList();
  }

  @Override
  public void send(int part, int server, long dueUs) {
    int attempt = attempts.merge(part, 1, Integer::sum) - 1;
    sends.add(new SentAttempt(part, attempt, server, nowUs, dueUs));
  }

  @Override
  public void answer(int query, boolean complete) {
    actions.add("answer " + query + (complete ? " complete" : " partial"));
  }

  @Override
  public void reject(int query, long retryAfterUs) {
    actions.add("reject " + query + " " + retryAfterUs);
  }

  @Override
  public void fail(int query) {
    actions.add("fail " + query);
  }

  @Override
  public void cancel(int part, int attempt) {
    actions.add("cancel " + part + " " + attempt);
  }

  @Override
  public void closeIdleConnections(int server) {
    actions.add("closeIdle " + server);
  }

  @Override
  public void sendHealthCheck(int server) {
    actions.add("healthCheck " + server);
  }

  @Override
  public void scheduleTimer(long token, long dueUs) {
    timers.computeIfAbsent(Math.max(nowUs + 1, dueUs), at -> new ArrayList<>()).add(token);
  }

  @Override
  public void subscribeToServerList() {
    actions.add("subscribe");
  }

  @Override
  public void log(String text) {
    actions.add("log " + text);
  }
}

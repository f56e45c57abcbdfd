package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Feeds a policy events and keeps what it did; it answers nothing by itself. */
final class Script implements BalancerActions {
  record Sent(int part, int attempt, int server, long atUs, long dueUs) {
    long timeOutUs() {
      return dueUs - atUs;
    }
  }

  final List<Sent> sent = new ArrayList<>();
  final List<String> done = new ArrayList<>();
  final LoadBalancer policy;
  private final Map<Integer, Integer> attempts = new HashMap<>();
  private final Map<Long, List<Long>> alarms = new java.util.TreeMap<>();
  long now = 1_000_000_000L;
  private int nextQuery = 1;

  Script(Settings settings) {
    this(settings, 7);
  }

  Script(Settings settings, long seed) {
    policy = new LoadBalancer(settings, seed, this);
    event(new BalancerEvent.Started());
  }

  void event(BalancerEvent event) {
    policy.on(now, event);
  }

  /** Moves the clock on, ringing the alarms that are due. */
  void run(long us) {
    long end = now + us;
    while (!alarms.isEmpty() && alarms.keySet().iterator().next() <= end) {
      long at = alarms.keySet().iterator().next();
      now = Math.max(now, at);
      for (long token : alarms.remove(at)) {
        event(new BalancerEvent.TimerFired(token));
      }
    }
    now = end;
  }

  void list(ServerEntry... entries) {
    event(new BalancerEvent.ServerListUpdated(ServerListKind.FULL, List.of(entries)));
  }

  void change(ServerEntry... entries) {
    event(new BalancerEvent.ServerListUpdated(ServerListKind.DELTA, List.of(entries)));
  }

  /**
   * A query of a class with a part for each shard, all of the same weight; its parts are id*100 +
   * i.
   */
  int query(int queryClass, long expiresInUs, int... shards) {
    int id = nextQuery++;
    event(
        new BalancerEvent.QueryArrived(
            id, id, queryClass, 0, shards.length, now + expiresInUs, 0, false));
    for (int i = 0; i < shards.length; i++) {
      event(new BalancerEvent.PartArrived(id * 100 + i, id, shards[i], 1.0 / shards.length, 0));
    }
    return id;
  }

  void end(Sent s, AttemptOutcome outcome, float... report) {
    event(
        new BalancerEvent.AttemptCompleted(
            s.part(),
            s.attempt(),
            outcome,
            s.server(),
            now - s.atUs(),
            outcome == AttemptOutcome.OK,
            report));
  }

  Sent last() {
    return sent.get(sent.size() - 1);
  }

  List<Integer> serversOf(int part) {
    return sent.stream().filter(s -> s.part() == part).map(Sent::server).toList();
  }

  @Override
  public void send(int part, int server, long dueUs) {
    int attempt = attempts.merge(part, 1, Integer::sum) - 1;
    sent.add(new Sent(part, attempt, server, now, dueUs));
  }

  @Override
  public void answer(int query, boolean whole) {
    done.add("answer " + query + (whole ? " whole" : " partial"));
  }

  @Override
  public void reject(int query, long retryAfterUs) {
    done.add("refuse " + query + " " + retryAfterUs);
  }

  @Override
  public void fail(int query) {
    done.add("fail " + query);
  }

  @Override
  public void cancel(int part, int attempt) {
    done.add("cancel " + part + " " + attempt);
  }

  @Override
  public void closeIdleConnections(int server) {
    done.add("release " + server);
  }

  @Override
  public void sendHealthCheck(int server) {
    done.add("probe " + server);
  }

  @Override
  public void scheduleTimer(long token, long dueUs) {
    alarms.computeIfAbsent(Math.max(now + 1, dueUs), at -> new ArrayList<>()).add(token);
  }

  @Override
  public void subscribeToServerList() {
    done.add("subscribe");
  }

  @Override
  public void log(String text) {
    done.add("log " + text);
  }
}

package dunlinhitch.experiments.soak;

import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.soak.Observation.RequestEnd;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The clients of one broker. They send requests at a constant rate, and some close their connection
 * before the answer. All code runs on the thread of the executor, except the callback at the end of
 * a request, which may run on another thread.
 */
final class SoakClients {
  private static final int INTERVAL_MS = 25;
  private static final int LEAVING_PERCENT = 6;
  private static final int SEARCH_PERCENT = 60;

  private final SoakPlan plan;
  private final String broker;
  private final Client client;
  private final Observations observations;
  private final ScheduledExecutorService executor;
  private final SplittableRandom random;
  private final Map<String, CompletableFuture<Client.Response>> open = new ConcurrentHashMap<>();
  private final Set<String> departed = ConcurrentHashMap.newKeySet();
  private int sent;

  SoakClients(
      SoakPlan plan,
      int number,
      int port,
      Observations observations,
      ScheduledExecutorService executor) {
    this.plan = plan;
    broker = "n" + number;
    client = Client.http(port);
    this.observations = observations;
    this.executor = executor;
    random = new SplittableRandom(plan.seed() * 31 + number);
  }

  /** Starts the clients. They send requests until the executor is shut down. */
  void start() {
    var unused = executor.scheduleAtFixedRate(this::send, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Returns a future that completes when all requests that are open now have ended. */
  CompletableFuture<Void> allEnded() {
    return CompletableFuture.allOf(open.values().toArray(CompletableFuture[]::new));
  }

  private void send() {
    String query = broker + "q" + sent++;
    boolean search = random.nextInt(100) < SEARCH_PERCENT;
    String queryClass = search ? SoakPlan.SEARCH : SoakPlan.BOOKING;
    int[] shards = search ? new int[] {0, 1} : new int[] {random.nextInt(SoakPlan.CELLS)};
    long timeoutUs = plan.deadlineMs() * 1_000L;
    observations.add(
        atUs -> new Observation.RequestSent(atUs, query, broker, queryClass, timeoutUs));
    CompletableFuture<Client.Response> response =
        client.send(
            queryClass,
            Map.of(
                "X-Trace-Id",
                query,
                "X-Expires-In",
                String.format(Locale.ROOT, "%.3f", timeoutUs / 1e6),
                "Idempotency-Key",
                "key-" + query),
            Client.body(shards));
    open.put(query, response);
    var unused = response.whenComplete((result, failure) -> onEnded(query, result));
    if (random.nextInt(100) < LEAVING_PERCENT) {
      int afterMs = random.nextInt(1, plan.deadlineMs() / 2);
      var unusedLeaving =
          executor.schedule(() -> leave(query, response), afterMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Closes the connection of the client that waits for a response. */
  private void leave(String query, CompletableFuture<Client.Response> response) {
    departed.add(query);
    response.cancel(true);
  }

  private void onEnded(String query, Client.Response result) {
    open.remove(query);
    RequestEnd end = result == null && departed.contains(query) ? RequestEnd.LEFT : endOf(result);
    observations.add(atUs -> new Observation.RequestEnded(atUs, query, end));
  }

  private static RequestEnd endOf(Client.Response result) {
    if (result == null) {
      return RequestEnd.BROKEN;
    }
    return switch (result.outcome()) {
      case "whole", "partial" -> RequestEnd.SERVED;
      case "refused" -> RequestEnd.REJECTED;
      case "failed", "late" -> RequestEnd.FAILED;
      default -> RequestEnd.BROKEN;
    };
  }
}

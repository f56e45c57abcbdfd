package dunlinhitch.experiments.simulation;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The clients of a simulated run. They send queries at random times, sometimes disconnect before
 * the answer, retry failed queries and add up the weight of the served answers. Not thread-safe.
 */
final class SimulatedClients {
  private static final double MICROS_PER_SECOND = 1e6;

  /**
   * A query of a client; {@code retries} is the number of times that the client has already retried
   * the query.
   */
  private record ClientQuery(
      QueryRequest request, int retries, long startedUs, boolean honorsRetryAfter) {}

  private final Simulation simulation;
  private final SimulationSchedule schedule;
  private final Scheduler time;
  private final InvariantChecker checker;
  private final FaultInjector faults;
  private final Settings settings;
  private final UniformRandomProvider random;
  private final Map<String, ClientQuery> openQueries = new LinkedHashMap<>();
  private final Map<String, String> exchanges = new HashMap<>();
  private int lastQuery;
  private long lastExchange;
  private double servedWeight;
  private double offeredWeight;

  SimulatedClients(
      Simulation simulation,
      SimulationSchedule schedule,
      Scheduler time,
      InvariantChecker checker,
      FaultInjector faults,
      Settings settings,
      UniformRandomProvider random) {
    this.simulation = simulation;
    this.schedule = schedule;
    this.time = time;
    this.checker = checker;
    this.faults = faults;
    this.settings = settings;
    this.random = random;
  }

  /** Returns the weight of the answers so far. */
  double servedWeight() {
    return servedWeight;
  }

  /** Returns the weight of the queries so far; retries are not counted. */
  double offeredWeight() {
    return offeredWeight;
  }

  /** Returns the request of a query, or null if no query with this id is open. */
  QueryRequest openRequest(String id) {
    ClientQuery query = openQueries.get(id);
    return query == null ? null : query.request();
  }

  /** Sends a query and schedules the next query. Does nothing once the load has ended. */
  void arrive() {
    if (time.now() >= Simulation.START_US + schedule.seconds() * 1_000_000L) {
      return;
    }
    time.scheduleAfter(
        (long)
            RandomStreams.exponential(
                random, MICROS_PER_SECOND / (schedule.queriesPerSecond() * faults.trafficFactor())),
        this::arrive);
    boolean booking = random.nextDouble() < 0.5;
    int first = random.nextInt(SimulationSettings.SHARD_COUNT);
    List<QueryRequest.PartRequest> parts = new ArrayList<>();
    int partCount = booking ? 1 : 6;
    for (int i = 0; i < partCount; i++) {
      parts.add(
          new QueryRequest.PartRequest(
              (first + i) % SimulationSettings.SHARD_COUNT, 1.0 / partCount, 0));
    }
    QueryClass queryClass = queryClass(booking);
    int queryNumber = ++lastQuery;
    long timeoutUs = (long) (queryClass.deadlineUs() * RandomStreams.uniform(random, 0.6, 1));
    QueryRequest request =
        new QueryRequest(
            "q" + queryNumber,
            booking ? "k" + queryNumber : "",
            queryClass,
            time.now() + timeoutUs,
            false,
            parts,
            "t" + queryNumber);
    offeredWeight += queryClass.priorityWeight();
    submit(new ClientQuery(request, 0, time.now(), random.nextDouble() < 0.8));
  }

  private QueryClass queryClass(boolean booking) {
    return settings.classes().get(booking ? 1 : 0);
  }

  private void submit(ClientQuery query) {
    SimulatedBroker broker = simulation.broker(random.nextInt(SimulationSettings.BROKER_COUNT));
    if (broker.isCrashed()) {
      return; // a crashed broker refuses the connection
    }
    openQueries.put(query.request().id(), query);
    simulation.line(
        "broker "
            + broker.number
            + " takes "
            + query.request().id()
            + " "
            + query.request().queryClass().name());
    checker.queryAccepted(broker.number, query.request());
    long exchange = ++lastExchange;
    exchanges.put(broker.number + " " + exchange, query.request().id());
    broker.accept(new Event.QueryReceived(exchange, query.request()));
    if (random.nextDouble() < 0.02) {
      time.scheduleAfter(
          (long) RandomStreams.uniform(random, 10_000, 1_000_000),
          () -> {
            if (openQueries.remove(query.request().id()) != null) {
              simulation.line("client of " + query.request().id() + " leaves");
              checker.clientDisconnected(query.request().id());
              broker.accept(new Event.ClientDisconnected(exchange));
            }
          });
    }
  }

  /** Delivers an answer to its client if the query is still open. */
  void reply(SimulatedBroker broker, long exchange, QueryResponse answer) {
    String id = exchanges.get(broker.number + " " + exchange);
    ClientQuery query = openQueries.get(id);
    if (query == null) {
      return; // the client has disconnected or has already received an answer
    }
    if (simulation.injects(Defect.LOST_ANSWER, 0.01)) {
      return;
    }
    if (simulation.injects(Defect.LATE_ANSWER, 0.01)) {
      time.scheduleAfter(5_000_000, () -> checker.queryAnswered(id, answer));
      return;
    }
    QueryResponse delivered = injectAnswerDefect(answer);
    simulation.line(
        "broker "
            + broker.number
            + " answers "
            + id
            + " "
            + delivered.getClass().getSimpleName()
            + (delivered instanceof QueryResponse.Served served
                ? (served.complete() ? " whole" : " partly " + served.parts().size())
                : ""));
    checker.queryAnswered(id, delivered);
    if (simulation.injects(Defect.TWO_ANSWERS, 0.01)) {
      checker.queryAnswered(id, delivered);
    }
    openQueries.remove(id);
    onAnswer(query, delivered);
  }

  private QueryResponse injectAnswerDefect(QueryResponse answer) {
    if (!(answer instanceof QueryResponse.Served served)) {
      return answer;
    }
    if (schedule.defect() == Defect.FALSE_WHOLE && !served.complete()) {
      return new QueryResponse.Served(true, served.parts());
    }
    if (simulation.injects(Defect.OTHER_VALUE, 0.01)) {
      List<QueryResponse.PartValue> parts = new ArrayList<>(served.parts());
      parts.set(0, new QueryResponse.PartValue(parts.get(0).shard(), "another's"));
      return new QueryResponse.Served(served.complete(), parts);
    }
    if (served.parts().size() > 1 && simulation.injects(Defect.UNDER_THE_FLOOR, 0.01)) {
      return new QueryResponse.Served(false, served.parts().subList(0, 1));
    }
    return answer;
  }

  /**
   * Adds the weight of a served answer, or schedules a retry of a query that was not served; some
   * clients ignore Retry-After.
   */
  private void onAnswer(ClientQuery query, QueryResponse answer) {
    QueryClass queryClass = query.request().queryClass();
    if (answer instanceof QueryResponse.Served served) {
      double share =
          served.parts().stream().mapToDouble(v -> 1.0 / query.request().parts().size()).sum();
      double earned =
          queryClass.priorityWeight()
              * (served.complete() ? 1 : queryClass.partialWeight() * share / queryClass.need());
      servedWeight +=
          time.now() <= query.startedUs() + queryClass.latencyObjectiveUs()
              ? earned
              : earned * queryClass.lateWeight();
      return;
    }
    if (query.retries() >= 2 || time.now() >= query.request().deadlineUs() - 100_000) {
      return;
    }
    long retryAfterUs =
        answer instanceof QueryResponse.Rejected rejected ? rejected.retryAfterUs() : 0;
    long delayUs =
        query.honorsRetryAfter()
            ? Math.max(retryAfterUs, (long) RandomStreams.uniform(random, 20_000, 200_000))
            : 5_000;
    time.scheduleAfter(
        delayUs,
        () -> {
          if (time.now() >= query.request().deadlineUs() - 50_000) {
            return;
          }
          QueryRequest previous = query.request();
          QueryRequest retry =
              new QueryRequest(
                  previous.id().replaceAll("r.*", "") + "r" + (query.retries() + 1),
                  previous.key(),
                  previous.queryClass(),
                  previous.deadlineUs(),
                  true,
                  previous.parts(),
                  previous.text());
          submit(
              new ClientQuery(
                  retry, query.retries() + 1, query.startedUs(), query.honorsRetryAfter()));
        });
  }
}

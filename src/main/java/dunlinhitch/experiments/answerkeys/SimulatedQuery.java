package dunlinhitch.experiments.answerkeys;

import dunlinhitch.answerkeys.PartQuery;

/** One query of the simulation at the broker that received it. */
final class SimulatedQuery {
  final SimulatedBroker broker;
  final Workload.Request request;
  final long startedUs;

  /** Number of times that the query ended; a correct broker ends each query exactly once. */
  int ends;

  SimulatedQuery(SimulatedBroker broker, Workload.Request request, long startedUs) {
    this.broker = broker;
    this.request = request;
    this.startedUs = startedUs;
  }

  PartQuery part() {
    return request.part();
  }

  /** Returns an identifier that is equal for all queries that must have the same answer. */
  String identity() {
    return request.topic() + "/" + part().shard();
  }
}

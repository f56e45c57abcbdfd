package dunlinhitch.balancer;

/**
 * One attempt of a part at a server.
 *
 * <p>Not thread-safe; referenced by its part and its server while it is in flight.
 */
final class Attempt {
  /**
   * Predictions at the time the attempt was sent, in microseconds.
   *
   * @param workUs work charged to the server
   * @param queuedUs work outstanding at the server ahead of this attempt
   * @param latencyUs time until the answer
   */
  record Prediction(double workUs, double queuedUs, double latencyUs) {}

  final Part part;
  final int number;
  final Server server;
  final long sentUs;
  final Prediction prediction;
  boolean cancelled;

  /** Whether the attempt was sent on a connection that had long been idle. */
  boolean onIdleConnection;

  Attempt(Part part, Server server, long sentUs, Prediction prediction) {
    this.part = part;
    this.number = part.attemptCount;
    this.server = server;
    this.sentUs = sentUs;
    this.prediction = prediction;
  }

  /** Registers the attempt as in flight and charges its work to the server. */
  void begin() {
    part.mayHaveRunUs = part.mayHaveRunUs < 0 ? sentUs : part.mayHaveRunUs;
    part.attemptCount++;
    part.attemptedServers.add(server);
    part.inFlight.add(this);
    part.requested = false;
    server.lastUsedUs = sentUs;
    server.trialDueUs = 0;
    server.inFlight.add(this);
    server.outstandingUs += prediction.workUs();
    server.callParts = server.callOpenedUs == sentUs ? server.callParts + 1 : 1;
    server.callOpenedUs = sentUs;
  }

  /** Removes the attempt from those in flight and releases its work. */
  void end(long nowUs) {
    part.inFlight.remove(this);
    server.inFlight.remove(this);
    server.outstandingUs =
        server.inFlight.isEmpty() ? 0 : server.outstandingUs - prediction.workUs();
    server.lastUsedUs = nowUs;
  }
}

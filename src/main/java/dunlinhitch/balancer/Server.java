package dunlinhitch.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * The load balancer's state of one server.
 *
 * <p>Not thread-safe; {@link ServerTable} owns it.
 */
final class Server {
  final int id;
  int zone;

  /** The group of servers that hold the same shards. */
  int cell;

  ServerState state = ServerState.GONE;

  /** When the state last changed from or to {@link ServerState#READY}. */
  long stateChangedUs;

  /** When an attempt was last answered. */
  long lastAnswerUs;

  /** When its process started, 0 if long ago. */
  long startedUs;

  /** When it was last enabled again after an operator had disabled it. */
  long enabledUs;

  /** When it is due for one trial part, 0 for none. */
  long trialDueUs;

  /** When a connection to it was last in use. */
  long lastUsedUs;

  /** Predicted work of the attempts in flight. */
  double outstandingUs;

  final List<Attempt> inFlight = new ArrayList<>();

  /** Failure penalty as of {@link #penaltyUpdatedUs}, in microseconds of work. */
  double penaltyUs;

  long penaltyUpdatedUs;
  int consecutiveFailures;

  /** Load of other brokers at this server according to its reports, in parts. */
  double reportedLoad;

  /** When it last sent a load report. */
  long reportedUs;

  boolean healthCheckInFlight;

  /** Budget of work that it may be sent during slow start. */
  final TokenBucket slowStartBucket = new TokenBucket();

  /** When the call that the parts of one event share was opened. */
  long callOpenedUs = -1;

  /** Parts sent at {@link #callOpenedUs}. */
  int callParts;

  Server(int id) {
    this.id = id;
  }

  /** Resets the estimates and treats the server as just started. */
  void resetAsStarted(long nowUs) {
    penaltyUs = 0;
    consecutiveFailures = 0;
    reportedLoad = 0;
    reportedUs = 0;
    enabledUs = nowUs;
    startedUs = nowUs;
  }
}

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

  /** Time of the last state change from or to {@link ServerState#READY}. */
  long stateChangedUs;

  /** Time at which an attempt was last answered. */
  long lastAnswerUs;

  /** Start time of the server's process; 0 if long ago. */
  long startedUs;

  /** Time at which an operator last enabled the server after it had been disabled. */
  long enabledUs;

  /** Time from which the server gets one trial part; 0 if none is due. */
  long trialDueUs;

  /** Time at which a connection to the server was last in use. */
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

  /** Time of the server's last load report. */
  long reportedUs;

  boolean healthCheckInFlight;

  /** Budget that limits the work sent to the server during slow start. */
  final TokenBucket slowStartBucket = new TokenBucket();

  /**
   * Time at which the current call was opened. A call is shared by the parts sent within one event.
   */
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

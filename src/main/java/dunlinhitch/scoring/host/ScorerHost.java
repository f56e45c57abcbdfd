package dunlinhitch.scoring.host;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.EndpointSnapshot;
import dunlinhitch.scoring.FactorTable;
import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.ScorerSettings;
import dunlinhitch.scoring.Weight;
import dunlinhitch.scoring.WeightKey;
import dunlinhitch.scoring.api.Ending;
import java.util.List;

/**
 * Runs a scorer outside the event loop. The event loop passes observations in and reads the latest
 * factors; no method of this class blocks.
 *
 * <p>Thread-safe. A supervisor thread owns the state, and a separate thread runs the scorer's code.
 * The scorer's input is immutable and its output is copied, so a scorer that never returns blocks
 * only its own thread.
 */
public final class ScorerHost implements AutoCloseable {
  private final Mailbox mailbox;
  private final SharedState sharedState = new SharedState();
  private final ScorerSupervisor supervisor;
  private final Thread supervisorThread;

  /** Starts the supervisor thread, which loads the scorer. */
  public ScorerHost(HostConfiguration configuration, HostEnvironment environment) {
    mailbox = new Mailbox(configuration.limits().mailboxCapacity());
    supervisor = new ScorerSupervisor(configuration, environment, mailbox, sharedState);
    supervisorThread = new Thread(null, supervisor::run, "scoring", 0, false);
    supervisorThread.setDaemon(true);
    supervisorThread.start();
  }

  /** The factors of the last valid round; {@link FactorTable#NONE} if there is none. */
  public FactorTable factors() {
    return sharedState.factors();
  }

  /** Replaces the endpoint snapshots; the next round uses the latest. */
  public void updateEndpoints(List<EndpointSnapshot> endpoints) {
    sharedState.setEndpoints(endpoints);
  }

  /** Passes a completed attempt to the supervisor; it is dropped if the mailbox is full. */
  public void onAttemptCompleted(String store, int queryClass, Ending attempt) {
    mailbox.offer(() -> supervisor.onAttemptCompleted(store, queryClass, attempt));
  }

  /** Passes a weight received by gossip to the supervisor; it is dropped if the mailbox is full. */
  public void onWeightReceived(ReplicatedEntry<WeightKey, Weight> weight) {
    mailbox.offer(() -> supervisor.onWeightReceived(weight));
  }

  /**
   * Passes an ejection notice received by gossip to the supervisor; it is dropped if the mailbox is
   * full.
   */
  public void onEjectionNoticeReceived(ReplicatedEntry<ScorerIdentity, Failure> notice) {
    mailbox.offer(() -> supervisor.onEjectionNoticeReceived(notice));
  }

  /** Entries to be disseminated to other brokers. */
  public PendingGossip pendingGossip() {
    return sharedState.pendingGossip();
  }

  /** The statistics as of the last valid round, load or failure. */
  public HostStatistics statistics() {
    return sharedState.statistics();
  }

  /**
   * Reads the directory again, as on SIGHUP. A scorer whose jar is unchanged continues to run, one
   * whose jar was removed is released, and a jar that cannot be loaded leaves the active scorer in
   * place.
   */
  public void reload(ScorerSettings settings) {
    mailbox.add(() -> supervisor.onReload(settings));
  }

  /** Stops the supervisor thread and releases the scorer without waiting for either. */
  @Override
  public void close() {
    supervisor.close();
    supervisorThread.interrupt();
  }
}

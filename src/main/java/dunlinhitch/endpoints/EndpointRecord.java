package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of one endpoint name in the registry: its claims, its status and its history.
 *
 * <p>Not thread-safe; owned by the registry. Each group of fields is written by the class that its
 * comment names.
 */
final class EndpointRecord {
  /** Means no cell, as a value of {@link #servingCell} or {@link #standbyCell}. */
  static final int NO_CELL = -1;

  final String name;

  /** Claims in force; written by {@link ClaimTable}. */
  final List<ActiveClaim> claims = new ArrayList<>(1);

  /** The last withdrawal, or null if there was none; written by {@link ClaimTable}. */
  Withdrawal lastWithdrawal;

  /** Written by {@link StatusUpdater}, and for stand-ins by {@link ChangePublisher}. */
  EndpointStatus status = EndpointStatus.GONE;

  /** Written by {@link StatusUpdater}. */
  StatusReason reason = StatusReason.NOT_CLAIMED;

  /** Written by {@link FlapDamping}. */
  final FlapHistory flaps = new FlapHistory();

  /**
   * The timer for the end of the suppression, of the linger or of the retention of flaps; written
   * by {@link StatusUpdater}.
   */
  TimingWheel.Handle<Runnable> timer;

  /** The status of the last change; written by {@link ChangePublisher}. */
  EndpointStatus publishedStatus = EndpointStatus.GONE;

  /** The endpoint of the last change; null if there was none or the endpoint is gone. */
  Endpoint published;

  /** The endpoint as it last served, retained while a return may be of the same process. */
  Endpoint lastServing;

  /** Its address in the {@link AddressIndex}, which writes it; null if it is not in the index. */
  String address;

  /** The cell for which it serves; written by {@link ShardCoverage}, like the three below. */
  int servingCell = NO_CELL;

  /** The cell for which it may stand in. */
  int standbyCell = NO_CELL;

  /** Since when the claim by which it may stand in has its content. */
  long standbySinceUs;

  /** Number of shard positions for which it stands in. */
  int coveredPositions;

  EndpointRecord(String name) {
    this.name = name;
  }

  /** Whether the given source has a claim on this endpoint. */
  boolean isClaimedBy(ClaimSource source) {
    for (ActiveClaim claim : claims) {
      if (claim.source == source) {
        return true;
      }
    }
    return false;
  }
}

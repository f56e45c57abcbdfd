package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.List;

/**
 * What the registry knows of one endpoint name: its claims, its status and its history.
 *
 * <p>Not thread-safe; the registry owns it. Each group of fields is written by one class, named in
 * its comment.
 */
final class EndpointRecord {
  /** Cell of an endpoint that is in none of a table's cells. */
  static final int NO_CELL = -1;

  final String name;

  /** Claims in force; written by {@link ClaimTable}. */
  final List<ActiveClaim> claims = new ArrayList<>(1);

  /** Null: it was never withdrawn; written by {@link ClaimTable}. */
  Withdrawal lastWithdrawal;

  /** Written by {@link StatusUpdater}, and by {@link ChangePublisher} where it stands in. */
  EndpointStatus status = EndpointStatus.GONE;

  /** Written by {@link StatusUpdater}. */
  StatusReason reason = StatusReason.NOT_CLAIMED;

  /** Written by {@link FlapDamping}. */
  final FlapHistory flaps = new FlapHistory();

  /**
   * End of the suppression, of the linger or of the flap memory; written by {@link StatusUpdater}.
   */
  TimingWheel.Handle<Runnable> timer;

  /** The status of the last change; written by {@link ChangePublisher}. */
  EndpointStatus publishedStatus = EndpointStatus.GONE;

  /** The endpoint of the last change; null: none, or it is gone. */
  Endpoint published;

  /** As it last served, for as long as a return may be of the same process. */
  Endpoint lastServing;

  /** Where it is in the {@link AddressIndex}, which writes it; null: not in it. */
  String address;

  /** The cell for which it serves; written by {@link ShardCoverage}, like the three below. */
  int servingCell = NO_CELL;

  /** The cell for which it may stand in. */
  int standbyCell = NO_CELL;

  /** Age of the claim by which it may stand in. */
  long standbySinceUs;

  /** Number of shard positions for which it stands in. */
  int coveredPositions;

  EndpointRecord(String name) {
    this.name = name;
  }

  /** True while that source has a claim on this endpoint. */
  boolean isClaimedBy(ClaimSource source) {
    for (ActiveClaim claim : claims) {
      if (claim.source == source) {
        return true;
      }
    }
    return false;
  }
}

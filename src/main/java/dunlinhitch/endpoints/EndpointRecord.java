package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.List;

/**
 * The registry's state of one endpoint: its claims, its status and its history.
 *
 * <p>Not thread-safe; owned by the registry. The comment of each field names the class that writes
 * the field.
 */
final class EndpointRecord {
  /** The value of {@link #servingCell} and {@link #standbyCell} that means no cell. */
  static final int NO_CELL = -1;

  final String name;

  /** The active claims; written by {@link ClaimTable}. */
  final List<ActiveClaim> claims = new ArrayList<>(1);

  /** The last withdrawal, or null if there was none; written by {@link ClaimTable}. */
  Withdrawal lastWithdrawal;

  /**
   * The current status; written by {@link StatusUpdater}, and for substitutes by {@link
   * ChangePublisher}.
   */
  EndpointStatus status = EndpointStatus.GONE;

  /** The reason for the current status; written by {@link StatusUpdater}. */
  StatusReason reason = StatusReason.NOT_CLAIMED;

  /** The recent withdrawals; written by {@link FlapDamping}. */
  final FlapHistory flaps = new FlapHistory();

  /**
   * The pending timer, or null. It fires when the suppression, the linger time or the retention of
   * the flap history ends. Written by {@link StatusUpdater}.
   */
  TimingWheel.Handle<Runnable> timer;

  /** The last published status; written by {@link ChangePublisher}. */
  EndpointStatus publishedStatus = EndpointStatus.GONE;

  /**
   * The endpoint as last published; null if it has not been published or is gone. Written by {@link
   * ChangePublisher}.
   */
  Endpoint published;

  /**
   * The endpoint as last published while it served. Retained as long as a new claim may refer to
   * the same process. Written by {@link ChangePublisher}, cleared by {@link StatusUpdater}.
   */
  Endpoint lastServing;

  /**
   * The address under which the endpoint is in the {@link AddressIndex}; null if it is not in the
   * index. Written by {@link AddressIndex}.
   */
  String address;

  /**
   * The cell in which the endpoint serves, or {@link #NO_CELL}. This field and the next three are
   * written by {@link ShardCoverage}.
   */
  int servingCell = NO_CELL;

  /** The cell in which the endpoint is a standby, or {@link #NO_CELL}. */
  int standbyCell = NO_CELL;

  /**
   * When the claim of this standby last changed, in microseconds. Standbys are ordered by this
   * time.
   */
  long standbySinceUs;

  /** The number of shard positions for which the endpoint is the substitute. */
  int coveredPositions;

  EndpointRecord(String name) {
    this.name = name;
  }

  /** Whether the given source has an active claim on this endpoint. */
  boolean isClaimedBy(ClaimSource source) {
    for (ActiveClaim claim : claims) {
      if (claim.source == source) {
        return true;
      }
    }
    return false;
  }
}

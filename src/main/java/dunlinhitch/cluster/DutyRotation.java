package dunlinhitch.cluster;

import java.util.Collection;
import java.util.List;

/**
 * Rotates a duty among the brokers by rendezvous hashing. Time is divided into epochs of equal
 * length. In each epoch the brokers are ordered by hash. The first broker, the leader, carries out
 * the duty. Every other broker waits one takeover delay longer than its predecessor in the order,
 * and carries out the duty if it has not been notified by then that the duty was done in this
 * epoch. An unresponsive leader therefore delays the duty by one takeover delay instead of a whole
 * epoch. While all brokers are connected, the duty is done once per epoch.
 *
 * <p>Bounds: an isolated broker keeps its last known members and never takes over a duty. If all
 * brokers are isolated from each other, the duty is therefore carried out only by the leader, once
 * per epoch. In a partitioned cluster, each side carries out the duty once per epoch, so the number
 * of executions is at most the number of sides.
 *
 * <p>Epochs are counted on the wall clock. A broker whose clock is wrong carries out the duty
 * earlier or later by the error of its clock; this is the only effect. Immutable.
 */
public final class DutyRotation {
  private final long epochUs;
  private final long takeoverDelayUs;

  /**
   * Creates a rotation.
   *
   * @param epochUs the length of an epoch in microseconds
   * @param takeoverDelayUs how long a broker waits for its predecessor in the order, in
   *     microseconds; at most one epoch
   */
  public DutyRotation(long epochUs, long takeoverDelayUs) {
    if (epochUs <= 0 || takeoverDelayUs <= 0 || takeoverDelayUs > epochUs) {
      throw new IllegalArgumentException(
          "takeover delay must be positive and at most one epoch: got a delay of "
              + takeoverDelayUs
              + " us with an epoch of "
              + epochUs
              + " us");
    }
    this.epochUs = epochUs;
    this.takeoverDelayUs = takeoverDelayUs;
  }

  /**
   * The time at which the given epoch of the duty begins. The epochs of different duties begin at
   * different times, derived from a hash of the duty.
   */
  public long epochStartUs(String duty, long epoch) {
    return epoch * epochUs + Math.floorMod(RendezvousHash.of("phase", duty), epochUs);
  }

  /** The epoch of the duty at the given time. */
  public long epochOf(String duty, long wallUs) {
    long epoch = Math.floorDiv(wallUs, epochUs);
    return epochStartUs(duty, epoch) <= wallUs ? epoch : epoch - 1;
  }

  /** The number of brokers that can take over the duty one after the other within one epoch. */
  public int maxSubstitutes() {
    return (int) ((epochUs - 1) / takeoverDelayUs);
  }

  /** The order of the brokers in the given epoch of the duty, the leader first. */
  public List<String> order(String duty, long epoch, Collection<String> brokers) {
    return RendezvousHash.order(brokers, "turn", duty, Long.toString(epoch));
  }

  /**
   * Returns the time at which a broker has to carry out the duty in the given epoch, unless it has
   * been notified by then that the duty was done.
   *
   * @param duty the duty
   * @param epoch the epoch
   * @param brokers all brokers that share the duty
   * @param self the broker for which the time is computed; must be one of {@code brokers}
   * @param isolated whether {@code self} is isolated; if so, it does not take over the duty from
   *     another broker
   * @return the time, or {@link Long#MAX_VALUE} if the broker does not have to carry out the duty
   *     in this epoch
   */
  public long dueUs(
      String duty, long epoch, Collection<String> brokers, String self, boolean isolated) {
    int place = order(duty, epoch, brokers).indexOf(self);
    if (place < 0) {
      throw new IllegalArgumentException(
          self + " is not one of the brokers that share the duty: " + brokers);
    }
    if (place > 0 && (isolated || place > maxSubstitutes())) {
      return Long.MAX_VALUE;
    }
    return epochStartUs(duty, epoch) + place * takeoverDelayUs;
  }
}

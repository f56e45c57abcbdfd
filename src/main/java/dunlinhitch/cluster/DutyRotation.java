package dunlinhitch.cluster;

import java.util.Collection;
import java.util.List;

/**
 * Rotates a duty among the brokers by rendezvous hashing. A duty has epochs of one length; in each
 * the brokers are ordered by hash, and the first of them, the leader, carries it out. The next in
 * the order takes over only if the duty is not known to be done in this epoch and its own time has
 * come: one takeover delay for each place before it. So an unresponsive leader costs one takeover
 * delay and not an epoch, and where all brokers are connected the duty is done once an epoch.
 *
 * <p>Bounds: an isolated broker stays with the members of the largest cluster that it knew, and
 * takes over from nobody, so brokers that are all isolated from each other do a duty once an epoch
 * together. In a cluster that is partitioned in two, each side does it once: at most two in an
 * epoch, and in one epoch more for each further part, whatever the number of brokers.
 *
 * <p>Epochs are counted on the wall clock, which brokers share but for their offsets; an offset
 * shifts a broker's turns by itself and no more. Immutable.
 */
public final class DutyRotation {
  private final long epochUs;
  private final long takeoverDelayUs;

  /**
   * Creates a rotation.
   *
   * @param epochUs the duty is done once in so many microseconds
   * @param takeoverDelayUs how long each place in the order waits for the one before it, in
   *     microseconds; at most an epoch
   */
  public DutyRotation(long epochUs, long takeoverDelayUs) {
    if (epochUs <= 0 || takeoverDelayUs <= 0 || takeoverDelayUs > epochUs) {
      throw new IllegalArgumentException(
          "a turn's patience is above 0 and at most its epoch: "
              + takeoverDelayUs
              + " of "
              + epochUs
              + " us");
    }
    this.epochUs = epochUs;
    this.takeoverDelayUs = takeoverDelayUs;
  }

  /** When that epoch of the duty begins; duties are spread over the epoch by their hash. */
  public long epochStartUs(String duty, long epoch) {
    return epoch * epochUs + Math.floorMod(RendezvousHash.of("phase", duty), epochUs);
  }

  /** The epoch of the duty at that time. */
  public long epochOf(String duty, long wallUs) {
    long epoch = Math.floorDiv(wallUs, epochUs);
    return epochStartUs(duty, epoch) <= wallUs ? epoch : epoch - 1;
  }

  /** How many brokers may take over one after the other within an epoch. */
  public int maxSubstitutes() {
    return (int) ((epochUs - 1) / takeoverDelayUs);
  }

  /** The order of the brokers in that epoch of the duty, the leader first. */
  public List<String> order(String duty, long epoch, Collection<String> brokers) {
    return RendezvousHash.order(brokers, "turn", duty, Long.toString(epoch));
  }

  /**
   * When a broker is to carry out the duty in that epoch, unless it is known to be done by then.
   *
   * @param duty the duty
   * @param epoch the epoch
   * @param brokers all brokers that share the duty
   * @param self the broker that asks, one of them
   * @param isolated whether it is isolated: then it takes over from nobody
   * @return the time, or {@link Long#MAX_VALUE} where its turn does not come within the epoch
   */
  public long dueUs(
      String duty, long epoch, Collection<String> brokers, String self, boolean isolated) {
    int place = order(duty, epoch, brokers).indexOf(self);
    if (place < 0) {
      throw new IllegalArgumentException(
          self + " is not among the brokers whose turns are asked for: " + brokers);
    }
    if (place > 0 && (isolated || place > maxSubstitutes())) {
      return Long.MAX_VALUE;
    }
    return epochStartUs(duty, epoch) + place * takeoverDelayUs;
  }
}

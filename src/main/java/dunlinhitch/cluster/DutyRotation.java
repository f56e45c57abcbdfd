package dunlinhitch.cluster;

import java.util.Collection;
import java.util.List;

/**
 * Rotates a duty among the brokers by rendezvous hashing. Time is divided into epochs of equal
 * length. In each epoch the brokers are ordered by hash, and the first, the leader, carries out the
 * duty. Each further broker in the order waits one takeover delay longer than the one before it,
 * and takes over if it does not know by then that the duty was done in this epoch. An unresponsive
 * leader therefore delays the duty by one takeover delay rather than a whole epoch, and the duty is
 * done once per epoch while all brokers are connected.
 *
 * <p>Bounds: an isolated broker keeps the members that it last knew and never takes over from
 * another, so brokers that are all isolated from each other carry out the duty once per epoch in
 * total. In a partitioned cluster each side carries it out once per epoch: at most twice with two
 * sides, and once more with each further side, whatever the number of brokers.
 *
 * <p>Epochs are counted on the wall clock. If the clock of a broker is off, only its own turns are
 * shifted, by the same amount. Immutable.
 */
public final class DutyRotation {
  private final long epochUs;
  private final long takeoverDelayUs;

  /**
   * Creates a rotation.
   *
   * @param epochUs the length of an epoch in microseconds
   * @param takeoverDelayUs how long each broker in the order waits for the one before it, in
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

  /** When the given epoch of the duty begins; the duties are spread over the epoch by hash. */
  public long epochStartUs(String duty, long epoch) {
    return epoch * epochUs + Math.floorMod(RendezvousHash.of("phase", duty), epochUs);
  }

  /** The epoch of the duty at the given time. */
  public long epochOf(String duty, long wallUs) {
    long epoch = Math.floorDiv(wallUs, epochUs);
    return epochStartUs(duty, epoch) <= wallUs ? epoch : epoch - 1;
  }

  /** The number of brokers that may take over one after the other within an epoch. */
  public int maxSubstitutes() {
    return (int) ((epochUs - 1) / takeoverDelayUs);
  }

  /** The order of the brokers in the given epoch of the duty, the leader first. */
  public List<String> order(String duty, long epoch, Collection<String> brokers) {
    return RendezvousHash.order(brokers, "turn", duty, Long.toString(epoch));
  }

  /**
   * Returns when a broker is to carry out the duty in the given epoch, unless it knows by then that
   * the duty was done.
   *
   * @param duty the duty
   * @param epoch the epoch
   * @param brokers all brokers that share the duty
   * @param self the broker whose turn is computed; must be one of {@code brokers}
   * @param isolated whether that broker is isolated; if so, it takes over from no other
   * @return the time, or {@link Long#MAX_VALUE} if it has no turn within the epoch
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

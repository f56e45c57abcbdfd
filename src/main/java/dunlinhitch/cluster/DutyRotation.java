package dunlinhitch.cluster;

import java.util.Collection;
import java.util.List;

/**
 * Whose turn it is to do, for all brokers, what one of them should do. A task has epochs of one
 * length; in each the brokers stand in an order by hash, and the first does it. Who comes after it
 * does it only when nothing was heard of it in the epoch and its own place in the row has come:
 * {@code patience} for each place before it. So a silent first costs one patience, not one epoch,
 * and where all hear each other one broker does it in each epoch.
 *
 * <p>Bound: a broker that hears nobody keeps to the first places of the largest fleet that it has
 * known, so brokers that are all cut from each other do it once in each epoch together. Of a fleet
 * in two halves that both hear someone, each half does it once: at most two in an epoch, and in one
 * epoch more for each further part, whatever the number of brokers.
 *
 * <p>Epochs are counted on the clock of the day, which brokers share but for their offsets; an
 * offset moves a turn by itself and no more.
 */
public final class DutyRotation {
  private final long epochUs;
  private final long patienceUs;

  /**
   * {@code epochUs}: once in so long; {@code patienceUs}: what one place in the row waits for the
   * place before it.
   */
  public DutyRotation(long epochUs, long patienceUs) {
    if (epochUs <= 0 || patienceUs <= 0 || patienceUs > epochUs) {
      throw new IllegalArgumentException(
          "a turn's patience is above 0 and at most its epoch: "
              + patienceUs
              + " of "
              + epochUs
              + " us");
    }
    this.epochUs = epochUs;
    this.patienceUs = patienceUs;
  }

  /** The epoch that a moment of the day's clock, in microseconds, falls in. */
  public long epoch(long dayUs) {
    return Math.floorDiv(dayUs, epochUs);
  }

  /**
   * When that epoch of the task begins, on the day's clock: tasks are spread over the epoch by
   * their hash.
   */
  public long beginsUs(String task, long epoch) {
    return epoch * epochUs + Math.floorMod(RendezvousHash.of("phase", task), epochUs);
  }

  /** The epoch of the task, which begins at a moment of its own, that this moment falls in. */
  public long epochOf(String task, long dayUs) {
    long epoch = epoch(dayUs);
    return beginsUs(task, epoch) <= dayUs ? epoch : epoch - 1;
  }

  /** How many of a row may come to act for the first within the epoch. */
  public int standIns() {
    return (int) ((epochUs - 1) / patienceUs);
  }

  /** The row of that epoch, the one whose turn it is first. */
  public List<String> row(String task, long epoch, Collection<String> brokers) {
    return RendezvousHash.order(brokers, "turn", task, Long.toString(epoch));
  }

  /**
   * When that broker is to do the task in that epoch if nobody is heard to have done it by then, on
   * the day's clock; {@link Long#MAX_VALUE} where its place does not come within the epoch, or it
   * hears nobody ({@code alone}) and is not the first.
   */
  public long dueUs(
      String task, long epoch, Collection<String> brokers, String self, boolean alone) {
    int place = row(task, epoch, brokers).indexOf(self);
    if (place < 0) {
      throw new IllegalArgumentException(
          self + " is not among the brokers whose turns are asked for: " + brokers);
    }
    if (place > 0 && (alone || place > standIns())) {
      return Long.MAX_VALUE;
    }
    return beginsUs(task, epoch) + place * patienceUs;
  }
}

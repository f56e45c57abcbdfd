package dunlinhitch.discovery.dnssd;

import dunlinhitch.discovery.dnssd.RecordSet.Change;
import dunlinhitch.discovery.dnssd.RecordSet.State;
import dunlinhitch.endpoints.TimingWheel;

/**
 * Counts the record sets in doubt and what their comparisons found, for logs and counters. One
 * period lasts from the first set in doubt until there is none. Times are in microseconds.
 */
final class DoubtMonitor {
  /**
   * What happened in one period, or has happened in it so far.
   *
   * @param sets sets that were in doubt
   * @param added records that were missing
   * @param removed records that had been removed
   * @param durationUs time since the first set was in doubt
   * @param pending sets that are still in doubt
   */
  record Report(int sets, int added, int removed, long durationUs, int pending) {}

  /** A period of this length is reported before it ends: its changes count as told by then. */
  private static final long LONG_PERIOD_US = 6_000_000;

  private int pending;
  private int sets;
  private int added;
  private int removed;
  private long sinceUs;
  private boolean reportedAsLong;
  private Report ended;

  /** Handles a transition of one set and what it changed of the records that had been listed. */
  void onTransition(State before, State after, Change change, long nowUs) {
    if (before != State.IN_DOUBT && after == State.IN_DOUBT) {
      begin(nowUs);
    }
    if (before == State.IN_DOUBT) {
      added += change.added().size();
      removed += change.removed().size();
      if (after != State.IN_DOUBT) {
        end(nowUs);
      }
    }
  }

  /** Handles the eviction of a set. */
  void onEvicted(RecordSet set, long nowUs) {
    if (set.state() == State.IN_DOUBT) {
      end(nowUs);
    }
  }

  private void begin(long nowUs) {
    if (pending == 0) {
      sinceUs = nowUs;
      sets = 0;
      added = 0;
      removed = 0;
      reportedAsLong = false;
    }
    pending++;
    sets++;
  }

  private void end(long nowUs) {
    pending--;
    if (pending == 0) {
      ended = new Report(sets, added, removed, nowUs - sinceUs, 0);
    }
  }

  /** Returns when {@link #drainReport} can report a long period, or {@link TimingWheel#NEVER}. */
  long nextUs() {
    return pending == 0 || reportedAsLong ? TimingWheel.NEVER : sinceUs + LONG_PERIOD_US;
  }

  /**
   * Returns a report on a period that has ended, or once on a long one that has not, and otherwise
   * null.
   */
  Report drainReport(long nowUs) {
    if (nowUs >= nextUs()) {
      reportedAsLong = true;
      return new Report(sets, added, removed, nowUs - sinceUs, pending);
    }
    Report report = ended;
    ended = null;
    return report;
  }
}

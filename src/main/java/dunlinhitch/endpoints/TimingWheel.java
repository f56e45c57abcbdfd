package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/**
 * A hierarchical timing wheel (Varghese and Lauck, SOSP 1987, scheme 6.2): scheduling and
 * cancelling a timer take constant time however many are pending. Four wheels of 64 slots; the
 * finest slot is {@link #TICK_US} wide, so that a timer fires up to one tick late, never early. A
 * timer beyond the reach of the wheels waits in the furthest slot and is scheduled again from
 * there.
 *
 * <p>Times are microseconds of one clock that never decreases. Timers that are due together fire in
 * the order of their ticks and, within one tick, in the order in which they were scheduled, so that
 * the same calls give the same order. Not thread-safe.
 *
 * @param <T> what a timer hands to its consumer when it fires
 */
public final class TimingWheel<T> {
  private static final int TICK_BITS = 13;

  /** Width of the finest slot. */
  public static final long TICK_US = 1 << TICK_BITS;

  /** The time of a timer that is not scheduled. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final int SLOT_BITS = 6;
  private static final int SLOTS = 1 << SLOT_BITS;
  private static final int WHEELS = 4;

  /** The number of ticks that the wheels reach ahead. */
  private static final long REACH = 1L << (SLOT_BITS * WHEELS);

  /** Slot of a timer that is due and has not fired yet. */
  private static final int DUE = -2;

  /** Slot of a timer that has fired or was cancelled. */
  private static final int UNSCHEDULED = -1;

  /** Orders timers by when they were scheduled. */
  private static final Comparator<Handle<?>> BY_SEQUENCE =
      (one, other) -> Long.compare(one.sequence, other.sequence);

  /**
   * One scheduled timer. Its links belong to the wheel.
   *
   * @param <T> what the timer hands to its consumer when it fires
   */
  public static final class Handle<T> {
    private final T item;

    /** Position in the order of scheduling. */
    private final long sequence;

    private long dueTick;
    private Handle<T> previous;
    private Handle<T> next;

    /** Its wheel and slot, {@link #DUE} or {@link #UNSCHEDULED}. */
    private int slot = UNSCHEDULED;

    private Handle(T item, long sequence) {
      this.item = item;
      this.sequence = sequence;
    }

    /** Whether the timer has neither fired nor been cancelled. */
    public boolean isScheduled() {
      return slot != UNSCHEDULED;
    }
  }

  /** Circular lists of timers, one for each slot of each wheel; null if empty. */
  private final List<Handle<T>> heads = new ArrayList<>();

  /** For each wheel, the set of its non-empty slots, one bit for each. */
  private final long[] occupied = new long[WHEELS];

  private long tick;
  private long lastSequence;
  private int size;

  /** Creates an empty wheel whose time begins at {@code nowUs}. */
  public TimingWheel(long nowUs) {
    tick = nowUs >> TICK_BITS;
    for (int i = 0; i < WHEELS * SLOTS; i++) {
      heads.add(null);
    }
  }

  /** Number of pending timers. */
  public int size() {
    return size;
  }

  /** Schedules a timer; one with a due time in the past fires with the next {@link #advance}. */
  public Handle<T> schedule(long dueUs, T item) {
    Handle<T> handle = new Handle<>(item, ++lastSequence);
    long boundedDueUs = Math.min(dueUs, NEVER - TICK_US);
    handle.dueTick = Math.max(tick + 1, (boundedDueUs + TICK_US - 1) >> TICK_BITS);
    insert(handle);
    size++;
    return handle;
  }

  /** Cancels a timer; null and a timer that has fired are ignored. */
  public void cancel(Handle<T> handle) {
    if (handle == null) {
      return;
    }
    if (handle.slot >= 0) {
      remove(handle);
      size--;
    } else { // if it is due, it is cancelled by a timer that fired before it
      handle.slot = UNSCHEDULED;
    }
  }

  /**
   * Fires all timers that are due by {@code nowUs}. A timer scheduled by {@code onDue} fires with
   * the next call at the earliest.
   */
  public void advance(long nowUs, Consumer<T> onDue) {
    long untilTick = nowUs >> TICK_BITS;
    List<Handle<T>> due = new ArrayList<>();
    while (tick < untilTick && size > 0) {
      long nextTick = nextEventTick();
      if (nextTick > untilTick) {
        break;
      }
      tick = nextTick;
      cascade(due);
      drainSlot(0, due);
    }
    tick = Math.max(tick, untilTick);
    for (Handle<T> handle : due) {
      if (handle.slot == DUE) {
        handle.slot = UNSCHEDULED;
        onDue.accept(handle.item);
      }
    }
  }

  /**
   * When {@link #advance} must be called next, to fire a timer or only to turn a coarser wheel;
   * {@link #NEVER} if no timer is pending.
   */
  public long nextUs() {
    return size == 0 ? NEVER : nextEventTick() << TICK_BITS;
  }

  /** Distributes the coarse slots that begin at this tick over finer ones. */
  private void cascade(List<Handle<T>> due) {
    for (int wheel = WHEELS - 1; wheel > 0; wheel--) {
      long ticksPerSlot = 1L << (SLOT_BITS * wheel);
      if ((tick & (ticksPerSlot - 1)) == 0) {
        drainSlot(wheel, due);
      }
    }
  }

  /**
   * Empties the current slot of a wheel: timers that are due are added to {@code due}, the others
   * are inserted into finer wheels.
   */
  private void drainSlot(int wheel, List<Handle<T>> due) {
    int slot = wheel * SLOTS + slotWithin(wheel, tick);
    List<Handle<T>> drained = new ArrayList<>();
    while (heads.get(slot) != null) {
      Handle<T> handle = heads.get(slot);
      remove(handle);
      drained.add(handle);
    }
    drained.sort(BY_SEQUENCE);
    for (Handle<T> handle : drained) {
      if (handle.dueTick <= tick) {
        handle.slot = DUE;
        due.add(handle);
        size--;
      } else {
        insert(handle);
      }
    }
  }

  /** The next tick at which a non-empty slot begins. */
  private long nextEventTick() {
    long nextTick = Long.MAX_VALUE;
    for (int wheel = 0; wheel < WHEELS; wheel++) {
      if (occupied[wheel] == 0) {
        continue;
      }
      long nextSlot = (tick >> (SLOT_BITS * wheel)) + 1;
      // rotated so that the slot after the current one is bit 0 and the current one comes last
      long rotated = Long.rotateRight(occupied[wheel], (int) (nextSlot & (SLOTS - 1)));
      int slotsAhead = Long.numberOfTrailingZeros(rotated);
      nextTick = Math.min(nextTick, (nextSlot + slotsAhead) << (SLOT_BITS * wheel));
    }
    return nextTick;
  }

  private static int slotWithin(int wheel, long atTick) {
    return (int) ((atTick >> (SLOT_BITS * wheel)) & (SLOTS - 1));
  }

  private void insert(Handle<T> handle) {
    long ticksAhead = Math.min(handle.dueTick - tick, REACH - 1);
    int wheel = 0;
    while (wheel < WHEELS - 1 && ticksAhead >= 1L << (SLOT_BITS * (wheel + 1))) {
      wheel++;
    }
    int within = slotWithin(wheel, tick + ticksAhead);
    int slot = wheel * SLOTS + within;
    Handle<T> head = heads.get(slot);
    if (head == null) {
      handle.previous = handle;
      handle.next = handle;
      heads.set(slot, handle);
      occupied[wheel] |= 1L << within;
    } else {
      handle.previous = head.previous;
      handle.next = head;
      head.previous.next = handle;
      head.previous = handle;
    }
    handle.slot = slot;
  }

  private void remove(Handle<T> handle) {
    int slot = handle.slot;
    if (handle.next == handle) {
      heads.set(slot, null);
      occupied[slot / SLOTS] &= ~(1L << (slot % SLOTS));
    } else {
      handle.previous.next = handle.next;
      handle.next.previous = handle.previous;
      if (heads.get(slot) == handle) {
        heads.set(slot, handle.next);
      }
    }
    handle.previous = null;
    handle.next = null;
    handle.slot = UNSCHEDULED;
  }

  @Override
  public String toString() {
    return size
        + " pending timers at tick "
        + tick
        + ", occupied slots "
        + Arrays.toString(occupied);
  }
}

package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/**
 * A hierarchical timing wheel (Varghese and Lauck, SOSP 1987, scheme 6.2): scheduling and
 * cancelling a timer take constant time, regardless of the number of pending timers. There are four
 * wheels of 64 slots. A slot of the finest wheel covers {@link #TICK_US}, so a timer fires up to
 * one tick late, but never early. A timer that is due after the time covered by the wheels is
 * inserted into the most distant slot, and is inserted again when that slot is reached.
 *
 * <p>Times are microseconds of a clock that never decreases. Timers that are due in the same call
 * fire in the order of their ticks, and those of the same tick in the order in which they were
 * scheduled, so that the order is deterministic. Not thread-safe.
 *
 * @param <T> the type of the items that are passed to the consumer when timers fire
 */
public final class TimingWheel<T> {
  private static final int TICK_BITS = 13;

  /** The time covered by one slot of the finest wheel, in microseconds. */
  public static final long TICK_US = 1 << TICK_BITS;

  /** The time that means never, for example as the due time of a timer that is not scheduled. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final int SLOT_BITS = 6;
  private static final int SLOTS = 1 << SLOT_BITS;
  private static final int WHEELS = 4;

  /** The number of ticks covered by the wheels. */
  private static final long REACH = 1L << (SLOT_BITS * WHEELS);

  /** The value of {@link Handle#slot} for a timer that is due and has not fired yet. */
  private static final int DUE = -2;

  /** The value of {@link Handle#slot} for a timer that has fired or was cancelled. */
  private static final int UNSCHEDULED = -1;

  /** Orders timers by the order in which they were scheduled. */
  private static final Comparator<Handle<?>> BY_SEQUENCE =
      (one, other) -> Long.compare(one.sequence, other.sequence);

  /**
   * One scheduled timer. The wheel uses its fields to link the timers of a slot.
   *
   * @param <T> the type of the item that is passed to the consumer when the timer fires
   */
  public static final class Handle<T> {
    private final T item;

    /** The position of the timer in the order of scheduling. */
    private final long sequence;

    private long dueTick;
    private Handle<T> previous;
    private Handle<T> next;

    /**
     * The index of the timer's slot, counted over all wheels, or {@link #DUE} or {@link
     * #UNSCHEDULED}.
     */
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

  /**
   * The heads of the circular lists of timers, one for each slot of each wheel; null for an empty
   * slot.
   */
  private final List<Handle<T>> heads = new ArrayList<>();

  /** For each wheel, a bit set of its non-empty slots. */
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

  /** The number of pending timers. */
  public int size() {
    return size;
  }

  /** Schedules a timer. A timer whose due time is in the past fires at the next tick. */
  public Handle<T> schedule(long dueUs, T item) {
    Handle<T> handle = new Handle<>(item, ++lastSequence);
    long boundedDueUs = Math.min(dueUs, NEVER - TICK_US);
    handle.dueTick = Math.max(tick + 1, (boundedDueUs + TICK_US - 1) >> TICK_BITS);
    insert(handle);
    size++;
    return handle;
  }

  /** Cancels a timer. Has no effect if {@code handle} is null or its timer has fired. */
  public void cancel(Handle<T> handle) {
    if (handle == null) {
      return;
    }
    if (handle.slot >= 0) {
      remove(handle);
      size--;
    } else {
      // The timer has fired, or it is due and would fire later in the running call of advance. In
      // the latter case, the callback of an earlier timer has cancelled it.
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
   * The latest time at which {@link #advance} must be called, either to fire a timer or to move
   * timers from a coarser wheel to a finer one; {@link #NEVER} if no timer is pending.
   */
  public long nextUs() {
    return size == 0 ? NEVER : nextEventTick() << TICK_BITS;
  }

  /** Moves the timers of the coarse slots that begin at the current tick to finer wheels. */
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
      // After the rotation, bit 0 represents the slot after the current one, and the last bit
      // represents the current slot.
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

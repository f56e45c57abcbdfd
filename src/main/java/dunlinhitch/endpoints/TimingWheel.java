package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * A hierarchical timing wheel (Varghese and Lauck, SOSP 1987, scheme 6.2): setting, moving and
 * dropping a moment cost the same however many are set. Four wheels of 64 slots; the finest slot is
 * {@link #TICK_US} wide, so that what is set rings up to one tick late, never early. A moment
 * further off than the wheels reach is put into the furthest slot and set again from there.
 *
 * <p>Times are microseconds on one clock that never runs back. Items that fall due together ring in
 * the order of their ticks and, within one, of their setting, so that the same calls give the same
 * order. One thread at a time.
 */
public final class TimingWheel<T> {
  /** Width of the finest slot. */
  public static final long TICK_US = 1 << 13;

  /** No moment is set. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final int TICK_BITS = 13;
  private static final int SLOT_BITS = 6;
  private static final int SLOTS = 1 << SLOT_BITS;
  private static final int WHEELS = 4;
  private static final int DUE = -2;
  private static final long REACH = 1L << (SLOT_BITS * WHEELS);

  /** One moment that is set. Its links are the wheel's own. */
  public static final class Handle<T> {
    private final T item;
    private final long order;
    private long dueTick;
    private Handle<T> before;
    private Handle<T> after;

    /**
     * Wheel and slot where it hangs, {@link #DUE} until it rings, or -1 once it rang or was
     * dropped.
     */
    private int slot = -1;

    private Handle(T item, long order) {
      this.item = item;
      this.order = order;
    }

    /** True until it rang or was dropped. */
    public boolean isSet() {
      return slot != -1;
    }
  }

  /** Rings of handles, one for each slot of each wheel; null: empty. */
  private final List<Handle<T>> heads = new ArrayList<>();

  /** For each wheel a bit for each slot that holds something. */
  private final long[] filled = new long[WHEELS];

  private long tick;
  private long order;
  private int size;

  /** Begins at that time. */
  public TimingWheel(long nowUs) {
    tick = nowUs >> TICK_BITS;
    for (int i = 0; i < WHEELS * SLOTS; i++) {
      heads.add(null);
    }
  }

  public int size() {
    return size;
  }

  /** Sets a moment; one that is past rings with the next {@link #advance}. */
  public Handle<T> set(long dueUs, T item) {
    Handle<T> handle = new Handle<>(item, ++order);
    handle.dueTick =
        Math.max(tick + 1, (Math.min(dueUs, NEVER - TICK_US) + TICK_US - 1) >> TICK_BITS);
    hang(handle);
    size++;
    return handle;
  }

  /** Drops it; one that rang or is null is passed over. */
  public void drop(Handle<T> handle) {
    if (handle != null && handle.slot >= 0) {
      unhang(handle);
      size--;
    } else if (handle != null) {
      handle.slot = -1; // due, and dropped by one that rang before it
    }
  }

  /**
   * Rings all that is due by then. What is set from within rings with the next call at the
   * earliest.
   */
  public void advance(long nowUs, Consumer<T> ring) {
    long until = nowUs >> TICK_BITS;
    List<Handle<T>> due = new ArrayList<>();
    while (tick < until && size > 0) {
      long next = nextEventTick();
      if (next > until) {
        break;
      }
      tick = next;
      for (int wheel = WHEELS - 1;
          wheel > 0;
          wheel--) { // coarse slots that begin now fall into finer ones
        if ((tick & (1L << (SLOT_BITS * wheel)) - 1) == 0) {
          empty(wheel, due);
        }
      }
      empty(0, due);
    }
    tick = Math.max(tick, until);
    for (Handle<T> handle : due) {
      if (handle.slot == DUE) {
        handle.slot = -1;
        ring.accept(handle.item);
      }
    }
  }

  /**
   * When the next call of {@link #advance} may have something to ring (it may be that it only turns
   * a coarser wheel), or {@link #NEVER}.
   */
  public long nextUs() {
    return size == 0 ? NEVER : nextEventTick() << TICK_BITS;
  }

  private void empty(int wheel, List<Handle<T>> due) {
    int slot = wheel * SLOTS + (int) (tick >> (SLOT_BITS * wheel) & SLOTS - 1);
    List<Handle<T>> fallen = new ArrayList<>();
    while (heads.get(slot) != null) {
      Handle<T> handle = heads.get(slot);
      unhang(handle);
      fallen.add(handle);
    }
    fallen.sort((a, b) -> Long.compare(a.order, b.order));
    for (Handle<T> handle : fallen) {
      if (handle.dueTick <= tick) {
        handle.slot = DUE;
        due.add(handle);
        size--;
      } else {
        hang(handle);
      }
    }
  }

  /** The next tick at which any slot begins that holds something. */
  private long nextEventTick() {
    long next = Long.MAX_VALUE;
    for (int wheel = 0; wheel < WHEELS; wheel++) {
      if (filled[wheel] != 0) {
        long turn = tick >> (SLOT_BITS * wheel);
        // bits from the slot behind the present one on, all round; the present one itself comes
        // last
        int ahead =
            Long.numberOfTrailingZeros(
                Long.rotateRight(filled[wheel], (int) (turn + 1 & SLOTS - 1)));
        next = Math.min(next, (turn + 1 + ahead) << (SLOT_BITS * wheel));
      }
    }
    return next;
  }

  private void hang(Handle<T> handle) {
    long ahead = Math.min(handle.dueTick - tick, REACH - 1);
    long at = tick + ahead;
    int wheel = 0;
    while (wheel < WHEELS - 1 && ahead >= 1L << (SLOT_BITS * (wheel + 1))) {
      wheel++;
    }
    int within = (int) (at >> (SLOT_BITS * wheel) & SLOTS - 1);
    int slot = wheel * SLOTS + within;
    Handle<T> head = heads.get(slot);
    if (head == null) {
      handle.before = handle;
      handle.after = handle;
      heads.set(slot, handle);
      filled[wheel] |= 1L << within;
    } else {
      handle.before = head.before;
      handle.after = head;
      head.before.after = handle;
      head.before = handle;
    }
    handle.slot = slot;
  }

  private void unhang(Handle<T> handle) {
    int slot = handle.slot;
    if (handle.after == handle) {
      heads.set(slot, null);
      filled[slot / SLOTS] &= ~(1L << slot % SLOTS);
    } else {
      handle.before.after = handle.after;
      handle.after.before = handle.before;
      if (heads.get(slot) == handle) {
        heads.set(slot, handle.after);
      }
    }
    handle.before = null;
    handle.after = null;
    handle.slot = -1;
  }

  @Override
  public String toString() {
    return size + " set, from tick " + tick + ", slots " + Arrays.toString(filled);
  }
}

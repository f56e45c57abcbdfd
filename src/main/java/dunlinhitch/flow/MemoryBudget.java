package dunlinhitch.flow;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The memory that the input of all connections may take together. Each connection may use a small
 * amount in any case, and shares the rest with the others.
 *
 * <p>Used on the event loop only.
 */
public final class MemoryBudget {
  /** What each connection may use in any case, in bytes. */
  public static final int OWN_BYTES = 4 * 1024;

  /** All connections may use this part of the heap together, beyond {@link #OWN_BYTES} each. */
  public static final int SHARED_HEAP_DIVISOR = 8;

  /** Connections that wait for memory read on once this share of it is free. */
  private static final int FREE_DIVISOR = 8;

  private final int ownBytes;
  private final long sharedBytes;
  private final Set<Runnable> waiting = new LinkedHashSet<>();
  private long sharedUsed;

  /** Creates a budget for the heap of this process. */
  public MemoryBudget() {
    this(OWN_BYTES, Runtime.getRuntime().maxMemory() / SHARED_HEAP_DIVISOR);
  }

  /**
   * Creates a budget.
   *
   * @param ownBytes what each connection may use in any case
   * @param sharedBytes what all connections may use together beyond that
   */
  public MemoryBudget(int ownBytes, long sharedBytes) {
    this.ownBytes = ownBytes;
    this.sharedBytes = sharedBytes;
  }

  /** The memory that one connection uses. */
  public final class Account {
    private long used;
    private long usedByRequest;
    private boolean closed;

    private Account() {
      // created by open
    }

    /** Returns the number of bytes that may be used now. */
    public long room() {
      return Math.max(0, ownBytes - used) + Math.max(0, sharedBytes - sharedUsed);
    }

    /** Records that bytes are used, whether or not there is room for them. */
    public void use(long bytes) {
      change(bytes);
    }

    /** Records that bytes are not used any more. */
    public void free(long bytes) {
      change(-bytes);
    }

    /** Uses bytes for the current request; returns false, and uses none, if there is no room. */
    public boolean useForRequest(long bytes) {
      if (bytes > room()) {
        return false;
      }
      addForRequest(bytes);
      return true;
    }

    /** Adds to the memory of the current request, whether or not there is room. */
    public void addForRequest(long bytes) {
      usedByRequest += bytes;
      change(bytes);
    }

    /** Frees what the current request uses. */
    public void requestEnded() {
      long bytes = usedByRequest;
      usedByRequest = 0;
      change(-bytes);
    }

    /** Frees everything that the connection uses. */
    public void close() {
      usedByRequest = 0;
      change(-used);
      closed = true;
    }

    private void change(long bytes) {
      if (closed) {
        return;
      }
      long sharedBefore = Math.max(0, used - ownBytes);
      used += bytes;
      sharedUsed += Math.max(0, used - ownBytes) - sharedBefore;
      if (bytes < 0) {
        wakeUp();
      }
    }
  }

  /** Opens the account of a connection. */
  public Account open() {
    return new Account();
  }

  /** Runs a task once shared memory is free again; a task that already waits is not added twice. */
  public void whenFree(Runnable task) {
    waiting.add(task);
  }

  /** Removes a task that waits for free memory, if it does. */
  public void cancel(Runnable task) {
    waiting.remove(task);
  }

  private void wakeUp() {
    if (waiting.isEmpty() || sharedUsed > sharedBytes - sharedBytes / FREE_DIVISOR) {
      return;
    }
    List<Runnable> tasks = List.copyOf(waiting);
    waiting.clear();
    tasks.forEach(Runnable::run);
  }
}

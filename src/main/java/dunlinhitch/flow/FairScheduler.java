package dunlinhitch.flow;

import io.netty.util.concurrent.EventExecutor;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Handles the messages of many connections in rounds of bounded size, one round in each iteration
 * of the event loop. A connection with more messages goes to the back of the establishedQueue.
 * Between two rounds the loop does all of its other work: timers, writes, and reads of all
 * connections.
 *
 * <p>Established connections go first, because a crowd whose requests are refused at once comes
 * again on new ones; new connections keep a part of each round. Slow connections have a queue and
 * rounds of their own, which are a pause apart, and are read only when they are visited. Their
 * small writes collect in the socket meanwhile, so that hundreds of them take a bounded share of
 * the processor.
 *
 * <p>Used on the event loop only.
 */
public final class FairScheduler {
  /** Maximum number of messages of one connection before the next connection's. */
  public static final int MESSAGES_PER_VISIT = 8;

  /** Maximum number of messages of all connections in one iteration of the event loop. */
  public static final int MESSAGES_PER_ROUND = 32;

  /** What new connections get of a round if established ones have as many messages as fit. */
  static final int NEW_MESSAGES_PER_ROUND = 8;

  /** Maximum number of slow connections that are visited in one round. */
  public static final int SLOW_VISITS_PER_ROUND = 16;

  /** Pause between two rounds of slow connections, in milliseconds. */
  static final int SLOW_ROUND_PAUSE_MS = 4;

  /** A connection that has received messages. */
  public interface Source {
    /**
     * Handles received messages.
     *
     * @param maxMessages maximum number of messages to handle
     * @return the number of handled messages
     */
    int handle(int maxMessages);

    /** Returns true if another message can be handled now. */
    boolean isReady();

    /** Returns true if a request of the connection has been answered. */
    boolean isEstablished();

    /** Reads on; called after a visit to a slow connection. */
    void resumeReading();
  }

  /** The place of one connection in the establishedQueue. */
  public final class Entry {
    private final Source source;

    private Entry(Source source) {
      this.source = source;
    }

    /** Queues the connection, unless it is queued already or has nothing to handle. */
    public void submit() {
      if (!isQueued() && source.isReady()) {
        (source.isEstablished() ? establishedQueue : newQueue).add(this);
        scheduleRound();
      }
    }

    private boolean isQueued() {
      return establishedQueue.contains(this) || newQueue.contains(this);
    }

    /** Queues a slow connection, unless it is queued already, and reads on after its visit. */
    public void submitSlow() {
      if (slowQueue.add(this)) {
        scheduleSlowRound();
      }
    }

    /** Returns true if the connection is read after its next visit. */
    public boolean isReadingDeferred() {
      return slowQueue.contains(this);
    }

    /** Takes the connection out of all queues; called when the connection is closed. */
    public void release() {
      establishedQueue.remove(this);
      newQueue.remove(this);
      slowQueue.remove(this);
    }
  }

  private final EventExecutor loop;
  private final Set<Entry> establishedQueue = new LinkedHashSet<>();
  private final Set<Entry> newQueue = new LinkedHashSet<>();
  private final Set<Entry> slowQueue = new LinkedHashSet<>();
  private boolean roundScheduled;
  private boolean slowRoundScheduled;
  private boolean inRound;

  /** Creates a scheduler without connections. */
  public FairScheduler(EventExecutor loop) {
    this.loop = loop;
  }

  /** Adds a connection; it is handled once it is submitted. */
  public Entry register(Source source) {
    return new Entry(source);
  }

  private void scheduleRound() {
    if (!roundScheduled && !inRound) {
      roundScheduled = true;
      loop.execute(this::runRound);
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // a round handles its own failures
  private void runRound() {
    roundScheduled = false;
    inRound = true;
    try {
      visitConnections();
    } finally {
      inRound = false;
      if (!establishedQueue.isEmpty() || !newQueue.isEmpty()) {
        roundScheduled = true;
        // an immediate task would still run in this iteration of the loop
        loop.schedule(this::runRound, 0, TimeUnit.NANOSECONDS);
      }
    }
  }

  private void visitConnections() {
    int left =
        visit(
            establishedQueue, MESSAGES_PER_ROUND, newQueue.isEmpty() ? 0 : NEW_MESSAGES_PER_ROUND);
    left = visit(newQueue, left, 0);
    visit(establishedQueue, left, 0);
  }

  /** Visits connections until {@code reserve} of the messages are left; returns what is left. */
  private static int visit(Set<Entry> entries, int messages, int reserve) {
    int left = messages;
    while (left > reserve && !entries.isEmpty()) {
      Entry entry = takeFirst(entries);
      left -= Math.max(1, entry.source.handle(Math.min(left - reserve, MESSAGES_PER_VISIT)));
      entry.submit();
    }
    return left;
  }

  @SuppressWarnings("FutureReturnValueIgnored") // a round handles its own failures
  private void scheduleSlowRound() {
    if (!slowRoundScheduled) {
      slowRoundScheduled = true;
      loop.schedule(this::runSlowRound, SLOW_ROUND_PAUSE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void runSlowRound() {
    try {
      for (int i = 0; i < SLOW_VISITS_PER_ROUND && !slowQueue.isEmpty(); i++) {
        visitSlow(takeFirst(slowQueue));
      }
    } finally {
      slowRoundScheduled = false;
      if (!slowQueue.isEmpty()) {
        scheduleSlowRound();
      }
    }
  }

  /** A connection with more messages is not read before they are handled. */
  private void visitSlow(Entry entry) {
    entry.source.handle(MESSAGES_PER_VISIT);
    if (entry.source.isReady()) {
      slowQueue.add(entry);
    } else {
      entry.source.resumeReading();
    }
  }

  private static Entry takeFirst(Set<Entry> entries) {
    Iterator<Entry> iterator = entries.iterator();
    Entry first = iterator.next();
    iterator.remove();
    return first;
  }
}

package dunlinhitch.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The order and the size of the scheduler's rounds. */
class FairSchedulerTest {
  private static final int MAX_COLLECTIONS = 1_000;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FairScheduler scheduler = new FairScheduler(channel.eventLoop());
  private final List<String> handled = new ArrayList<>();

  private final class Backlog implements FairScheduler.Source {
    private final String name;
    private final FairScheduler.Entry entry = scheduler.register(this);
    private int messages;

    Backlog(String name, int messages) {
      this.name = name;
      this.messages = messages;
      entry.submit();
    }

    @Override
    public int handle(int maxMessages) {
      int count = Math.min(maxMessages, messages);
      messages -= count;
      handled.addAll(Collections.nCopies(count, name));
      return count;
    }

    @Override
    public boolean isReady() {
      return messages > 0;
    }

    @Override
    public boolean isEstablished() {
      return !name.startsWith("new");
    }

    @Override
    public void resumeReading() {
      // this source reads nothing
    }
  }

  /** Guards against a connection whose backlog delays the connections behind it. */
  @Test
  void aConnectionWithABacklogGoesToTheBackOfTheQueue() {
    new Backlog("flood", 10_000);
    new Backlog("fair", 1);
    channel.runPendingTasks();
    assertEquals(FairScheduler.MESSAGES_PER_VISIT, handled.indexOf("fair"));
  }

  /** Guards against a round that keeps the event loop from its timers and sockets. */
  @Test
  void aRoundEndsAtItsBoundAndTheNextOneIsAnotherTask() {
    new Backlog("a", 10_000);
    new Backlog("b", 10_000);
    channel.runPendingTasks();
    assertEquals(0, handled.size() % FairScheduler.MESSAGES_PER_ROUND);
    int sizeBefore = handled.size();
    channel.runPendingTasks();
    assertEquals(true, handled.size() > sizeBefore);
    assertEquals(handled.size() / 2, Collections.frequency(handled, "a"));
  }

  /** Guards against closed connections that stay in the queue, with all that belongs to them. */
  @Test
  void aReleasedConnectionIsNeitherVisitedNorKept() throws InterruptedException {
    new Backlog("a", 10_000);
    Backlog released = new Backlog("released", 1);
    released.entry.release();
    WeakReference<Backlog> kept = new WeakReference<>(released);
    released = null;
    for (int i = 0; i < MAX_COLLECTIONS && kept.get() != null; i++) {
      System.gc();
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertNull(kept.get());
    channel.runPendingTasks();
    assertEquals(-1, handled.indexOf("released"));
  }

  /** Guards against hundreds of slow connections that take the processor from usual clients. */
  @Test
  void slowConnectionsAreVisitedInRoundsOfTheirOwn() {
    channel.freezeTime();
    List<Backlog> slow = new ArrayList<>();
    for (int i = 0; i <= FairScheduler.SLOW_VISITS_PER_ROUND; i++) {
      Backlog backlog = new Backlog("slow", 0);
      backlog.messages = 1;
      backlog.entry.submitSlow();
      slow.add(backlog);
    }
    new Backlog("prompt", 1);
    channel.runPendingTasks();
    assertEquals(List.of("prompt"), handled);
    channel.advanceTimeBy(FairScheduler.SLOW_ROUND_PAUSE_MS, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    assertEquals(1 + FairScheduler.SLOW_VISITS_PER_ROUND, handled.size());
    assertEquals(true, slow.get(slow.size() - 1).entry.isReadingDeferred());
    channel.advanceTimeBy(FairScheduler.SLOW_ROUND_PAUSE_MS, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    assertEquals(1 + slow.size(), handled.size());
  }

  /** Guards against the last messages of a slow request that are never handled. */
  @Test
  void aSlowConnectionIsVisitedUntilItsMessagesAreHandled() {
    channel.freezeTime();
    Backlog slow = new Backlog("slow", 0);
    slow.messages = 2 * FairScheduler.MESSAGES_PER_VISIT + 1;
    slow.entry.submitSlow();
    for (int round = 0; round < 3; round++) {
      channel.advanceTimeBy(FairScheduler.SLOW_ROUND_PAUSE_MS, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
    assertEquals(0, slow.messages);
    assertEquals(false, slow.entry.isReadingDeferred());
  }

  /** Guards against a crowd on new connections that delays usual clients' requests. */
  @Test
  void establishedConnectionsGoFirstAndNewOnesKeepTheirPart() {
    for (int i = 0; i < FairScheduler.MESSAGES_PER_ROUND; i++) {
      new Backlog("new" + i, 1);
    }
    new Backlog("usual", 1);
    channel.runPendingTasks();
    assertEquals(0, handled.indexOf("usual"));
    handled.clear();
    for (int i = 0; i < FairScheduler.MESSAGES_PER_ROUND; i++) {
      new Backlog("flood", 10_000);
    }
    new Backlog("new", 10_000);
    channel.runPendingTasks();
    int size = handled.size();
    assertEquals(
        size / FairScheduler.MESSAGES_PER_ROUND * FairScheduler.NEW_MESSAGES_PER_ROUND,
        Collections.frequency(handled, "new"));
  }
}

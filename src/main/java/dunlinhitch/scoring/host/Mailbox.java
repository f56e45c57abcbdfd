package dunlinhitch.scoring.host;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Messages to the supervisor thread. Any thread may add messages without blocking; only the
 * supervisor thread receives them.
 */
final class Mailbox {
  private final LinkedBlockingQueue<Runnable> messages = new LinkedBlockingQueue<>();
  private final AtomicLong dropped = new AtomicLong();
  private final int capacity;

  Mailbox(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a message whose loss is harmless; it is dropped if the mailbox is full. */
  void offer(Runnable message) {
    if (messages.size() < capacity) {
      messages.add(message);
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Adds a message that must not be lost, regardless of the capacity. */
  void add(Runnable message) {
    messages.add(message);
  }

  /** Returns the next message, or null if none arrives within the timeout. */
  Runnable poll(long timeoutUs) throws InterruptedException {
    return messages.poll(timeoutUs, TimeUnit.MICROSECONDS);
  }

  /** Number of dropped messages. */
  long dropped() {
    return dropped.get();
  }
}

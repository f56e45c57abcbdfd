package dunlinhitch.frontend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ParkingSelectStrategyTest {
  private static final int TIMERS = 50;

  /**
   * Five pauses, and a few rounds that find out that they are wanted; a loop that goes round makes
   * hundreds.
   */
  private static final int ROUNDS_A_TIMER = 16;

  private long now;
  private final List<Long> parked = new ArrayList<>();
  private final ParkingSelectStrategy strategy =
      new ParkingSelectStrategy(
          () -> now,
          ns -> {
            parked.add(ns);
            now += ns;
          });

  private int round(int ready, boolean tasks) throws Exception {
    now += 2_000;
    return strategy.calculateStrategy(() -> ready, tasks);
  }

  @Test
  void aLoopThatGoesRoundForNothingParks() throws Exception {
    for (int i = 0; i < 4; i++) {
      assertEquals(SelectStrategy.SELECT, round(0, false));
    }
    assertEquals(2, parked.size(), "all but the two that may have read or written");
  }

  @Test
  void whatIsReadyOrHasTasksNeverWaits() throws Exception {
    for (int i = 0; i < 20; i++) {
      assertEquals(
          i % 2 == 0 ? SelectStrategy.SELECT : 3, i % 2 == 0 ? round(0, false) : round(3, true));
    }
    assertEquals(
        SelectStrategy.SELECT, round(0, false)); // the second quick one is the first that asks
    assertEquals(7, round(7, false));
    assertEquals(List.of(), parked);
  }

  @Test
  void aRoundThatWaitedIsNoneOfThose() throws Exception {
    for (int i = 0; i < 10; i++) {
      now += 1_000_000;
      assertEquals(SelectStrategy.SELECT, round(0, false));
    }
    assertEquals(List.of(), parked);
  }

  /**
   * Fails where Netty's own strategy stands: some 400 µs before each of these timers it asks the
   * selector without a pause.
   */
  @Test
  void theBrokersLoopDoesNotGoRoundBeforeATimer() throws Exception {
    AtomicInteger rounds = new AtomicInteger();
    var made = new ClientListener(null).ioHandlerFactory();
    var group =
        new MultiThreadIoEventLoopGroup(
            1, executor -> new Counted(made.newHandler(executor), rounds));
    try {
      IoEventLoop loop = group.next();
      loop.submit(() -> {}).get();
      rounds.set(0);
      for (int i = 0; i < TIMERS; i++) {
        loop.schedule(() -> {}, 1_400, TimeUnit.MICROSECONDS).get();
      }
      assertTrue(
          rounds.get() <= TIMERS * ROUNDS_A_TIMER, rounds + " rounds for " + TIMERS + " timers");
    } finally {
      group.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
    }
  }

  private record Counted(IoHandler inner, AtomicInteger rounds) implements IoHandler {
    @Override
    public int run(IoHandlerContext context) {
      rounds.incrementAndGet();
      return inner.run(context);
    }

    @Override
    public void initialize() {
      inner.initialize();
    }

    @Override
    public void prepareToDestroy() {
      inner.prepareToDestroy();
    }

    @Override
    public void destroy() {
      inner.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      return inner.register(handle);
    }

    @Override
    public void wakeup() {
      inner.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
      return inner.isCompatible(handleType);
    }
  }
}

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

/** Conditions under which an event loop parks instead of polling its selector. */
class ParkingSelectStrategyTest {
  private static final int TIMERS = 50;

  /**
   * The wait for a timer takes five pauses, with a few short rounds before each pause. A loop that
   * polls takes hundreds of rounds.
   */
  private static final int MAX_ROUNDS_PER_TIMER = 16;

  private long nowNs;
  private final List<Long> parked = new ArrayList<>();
  private final ParkingSelectStrategy strategy =
      new ParkingSelectStrategy(
          () -> nowNs,
          ns -> {
            parked.add(ns);
            nowNs += ns;
          });

  private int round(int ready, boolean tasks) throws Exception {
    nowNs += 2_000;
    return strategy.calculateStrategy(() -> ready, tasks);
  }

  @Test
  void busyLoopParks() throws Exception {
    for (int i = 0; i < 4; i++) {
      assertEquals(SelectStrategy.SELECT, round(0, false));
    }
    assertEquals(2, parked.size(), "every round must park except the two that may have done I/O");
  }

  @Test
  void readyChannelsAndTasksNeverPark() throws Exception {
    for (int i = 0; i < 20; i++) {
      assertEquals(
          i % 2 == 0 ? SelectStrategy.SELECT : 3, i % 2 == 0 ? round(0, false) : round(3, true));
    }
    assertEquals(
        SelectStrategy.SELECT,
        round(0, false)); // the loop may park from its second consecutive short round on
    assertEquals(7, round(7, false));
    assertEquals(List.of(), parked);
  }

  @Test
  void roundsThatWaitedDoNotPark() throws Exception {
    for (int i = 0; i < 10; i++) {
      nowNs += 1_000_000;
      assertEquals(SelectStrategy.SELECT, round(0, false));
    }
    assertEquals(List.of(), parked);
  }

  /**
   * Netty's own strategy fails this test: it polls for about 400 µs before each of these timers.
   */
  @Test
  void eventLoopDoesNotPollBeforeATimer() throws Exception {
    AtomicInteger rounds = new AtomicInteger();
    var factory = new ClientListener(null).ioHandlerFactory();
    var group =
        new MultiThreadIoEventLoopGroup(
            1, executor -> new CountingHandler(factory.newHandler(executor), rounds));
    try {
      IoEventLoop loop = group.next();
      loop.submit(() -> {}).get();
      rounds.set(0);
      for (int i = 0; i < TIMERS; i++) {
        loop.schedule(() -> {}, 1_400, TimeUnit.MICROSECONDS).get();
      }
      assertTrue(
          rounds.get() <= TIMERS * MAX_ROUNDS_PER_TIMER,
          rounds + " rounds for " + TIMERS + " timers");
    } finally {
      group.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
    }
  }

  private record CountingHandler(IoHandler inner, AtomicInteger rounds) implements IoHandler {
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

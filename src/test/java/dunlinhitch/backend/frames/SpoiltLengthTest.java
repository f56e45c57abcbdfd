package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replies whose frame states a length that does not match what the store sends. Bytes are passed to
 * the reader directly, so that each test decides which of them are read together.
 */
class SpoiltLengthTest {
  private static final String VALUE = "5be2a07c19f04d63";
  private static final int FIRST = 1;
  private static final int SECOND = 2;

  /** The two kinds of reply, each with the header of its first part and of its second. */
  private enum Kind {
    PART('q', ".%d good 1 -"),
    FIRST_PASS('t', ".%d good 1 - 7 v1");

    private final char type;
    private final String header;

    Kind(char type, String header) {
      this.type = type;
      this.header = header;
    }

    /** The whole frame of the reply to a part. */
    private Buffer reply(int shard) {
      return FrameStore.frame(type, "q" + header.formatted(shard) + "\n" + VALUE);
    }

    /** The same frame, whose length is off by some bytes. */
    private Buffer reply(int shard, int lengthOffBy) {
      Buffer frame = reply(shard);
      return frame.setUnsignedIntLE(0, frame.getUnsignedIntLE(0) + lengthOffBy);
    }
  }

  private static Vertx vertx;

  private final MicroClock clock = new MicroClock();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final InFlightAttempts inFlight = new InFlightAttempts();
  private final PendingHealthChecks healthChecks = new PendingHealthChecks();
  private volatile boolean closed;
  private ReplyReader reader;

  @BeforeAll
  static void createEventLoop() {
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  }

  @AfterAll
  static void closeEventLoop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  /** Reads pieces one after the other, without any other work of the event loop in between. */
  private void read(Kind kind, Buffer... pieces) throws Exception {
    run(
        () -> {
          reader = reader();
          inFlight.add(attempt(FIRST, kind));
          inFlight.add(attempt(SECOND, kind));
          healthChecks.addSent(3);
          for (Buffer piece : pieces) {
            if (!closed) {
              reader.read(piece, clock.getAsLong());
            }
          }
        });
  }

  private void run(Runnable task) throws Exception {
    Future.<Void>future(
            done ->
                vertx.runOnContext(
                    ignored -> {
                      task.run();
                      done.complete();
                    }))
        .toCompletionStage()
        .toCompletableFuture()
        .get(5, TimeUnit.SECONDS);
  }

  private ReplyReader reader() {
    return new ReplyReader(
        FrameTransportFixture.shared(vertx, clock, events::add),
        inFlight,
        healthChecks,
        new UnconfirmedAttempts(attempt -> {}),
        () -> closed,
        this::close,
        () -> {});
  }

  private void close() {
    closed = true;
    reader.onClosed();
  }

  private static InFlightAttempts.InFlightAttempt attempt(int attempt, Kind kind) {
    return new InFlightAttempts.InFlightAttempt(
        attempt, "q." + attempt, 0, Future.succeededFuture(), kind == Kind.FIRST_PASS);
  }

  /** Returns the next event that ends an attempt or a health check. */
  private Event nextEnd() throws InterruptedException {
    Event event = events.poll(5, TimeUnit.SECONDS);
    while (event instanceof Event.ConditionCounted) {
      event = events.poll(5, TimeUnit.SECONDS);
    }
    return event;
  }

  private void expectReset(int attempt) throws InterruptedException {
    assertEquals(Event.AttemptCompleted.of(attempt, AttemptOutcome.RESET), nextEnd());
    assertTrue(closed);
  }

  private void expectAnswer(int attempt, Kind kind) throws InterruptedException {
    Event event = nextEnd();
    if (kind == Kind.PART) {
      Event.AttemptCompleted completed = (Event.AttemptCompleted) event;
      assertEquals(attempt, completed.attempt());
      assertEquals(AttemptOutcome.OK, completed.outcome());
      assertEquals(VALUE, completed.value());
    } else {
      Event.FirstPassCompleted completed = (Event.FirstPassCompleted) event;
      assertEquals(attempt, completed.attempt());
      assertEquals(VALUE, completed.emptyValue());
    }
  }

  private static Stream<Arguments> lengthsBelow() {
    return Stream.of(Kind.values())
        .flatMap(
            kind ->
                IntStream.rangeClosed(1, kind.reply(FIRST).length() - Frame.LENGTH_BYTES - 1)
                    .mapToObj(tooShortBy -> Arguments.of(kind, tooShortBy)));
  }

  /** Guards against a value that is served cut, because more of it followed its frame. */
  @ParameterizedTest
  @MethodSource("lengthsBelow")
  void lengthBelowTheContentIsMalformed(Kind kind, int tooShortBy) throws Exception {
    read(kind, kind.reply(FIRST, -tooShortBy));
    expectMalformed(FIRST);
  }

  /** Guards against a cut value whose rest is read later than the end of its frame. */
  @ParameterizedTest
  @MethodSource("lengthsBelow")
  void lengthBelowTheContentIsMalformedInTwoReads(Kind kind, int tooShortBy) throws Exception {
    Buffer spoilt = kind.reply(FIRST, -tooShortBy);
    int end = spoilt.length() - tooShortBy;
    read(kind, spoilt.getBuffer(0, end), spoilt.getBuffer(end, spoilt.length()));
    expectMalformed(FIRST);
  }

  /** Guards against a rest of a few bytes that is taken as the start of the next reply's frame. */
  @ParameterizedTest
  @MethodSource("lengthsBelow")
  void replyBehindAShortLengthDoesNotMakeItWhole(Kind kind, int tooShortBy) throws Exception {
    read(kind, kind.reply(FIRST, -tooShortBy), kind.reply(SECOND));
    expectMalformed(FIRST);
  }

  private static Stream<Arguments> lengthsAbove() {
    return Stream.of(Kind.values())
        .flatMap(
            kind ->
                IntStream.rangeClosed(1, 2 * kind.reply(SECOND).length())
                    .mapToObj(tooLongBy -> Arguments.of(kind, tooLongBy)));
  }

  /** Guards against a value that is served with bytes of the next replies. */
  @ParameterizedTest
  @MethodSource("lengthsAbove")
  void lengthAboveTheContentIsMalformed(Kind kind, int tooLongBy) throws Exception {
    read(kind, kind.reply(FIRST, tooLongBy), kind.reply(SECOND), kind.reply(SECOND));
    expectMalformed(FIRST);
  }

  /** The same in one read, and in a read for each byte. */
  @ParameterizedTest
  @MethodSource("lengthsAbove")
  void lengthAboveTheContentIsMalformedInAnyReads(Kind kind, int tooLongBy) throws Exception {
    Buffer all = kind.reply(FIRST, tooLongBy);
    all.appendBuffer(kind.reply(SECOND)).appendBuffer(kind.reply(SECOND));
    read(kind, all);
    expectMalformed(FIRST);
    closed = false;
    read(kind, bytes(all));
    expectMalformed(FIRST);
  }

  private static Buffer[] bytes(Buffer buffer) {
    return IntStream.range(0, buffer.length())
        .mapToObj(i -> buffer.getBuffer(i, i + 1))
        .toArray(Buffer[]::new);
  }

  /** Guards against bytes behind a reply that make a later, whole reply of another part fail. */
  @ParameterizedTest
  @EnumSource(Kind.class)
  void repliesBehindEachOtherAreWhole(Kind kind) throws Exception {
    read(kind, kind.reply(FIRST).appendBuffer(kind.reply(SECOND)));
    expectAnswer(FIRST, kind);
    expectAnswer(SECOND, kind);
    assertFalse(closed);
  }

  /** Guards against a good answer that is lost for a second copy right behind it. */
  @ParameterizedTest
  @EnumSource(Kind.class)
  void secondCopyLeavesTheAnswerGood(Kind kind) throws Exception {
    read(kind, kind.reply(FIRST).appendBuffer(kind.reply(FIRST)));
    expectAnswer(FIRST, kind);
    read(kind, bytes(kind.reply(FIRST).appendBuffer(kind.reply(FIRST))));
    expectAnswer(FIRST, kind);
    assertFalse(closed);
  }

  /** Nothing tells noise behind a good answer from the rest of an answer that was cut. */
  @ParameterizedTest
  @EnumSource(Kind.class)
  void noiseBehindAnAnswerMakesItMalformed(Kind kind) throws Exception {
    read(kind, kind.reply(FIRST).appendString("noise"));
    expectReset(FIRST);
  }

  /** An answer is neither held for longer than the quiet time, nor lost at the store's end. */
  @ParameterizedTest
  @EnumSource(Kind.class)
  void answerIsAcceptedAtTheEndOfTheStream(Kind kind) throws Exception {
    read(kind, kind.reply(FIRST));
    run(reader::onEndOfStream);
    expectAnswer(FIRST, kind);
  }

  /** Guards against a cut value that is accepted because the store ends its stream. */
  @ParameterizedTest
  @CsvSource({"PART, 1", "PART, 3", "FIRST_PASS, 1", "FIRST_PASS, 3"})
  void restOfAFewBytesIsNotAcceptedAtTheEndOfTheStream(Kind kind, int tooShortBy) throws Exception {
    read(kind, kind.reply(FIRST, -tooShortBy));
    run(
        () -> {
          reader.onEndOfStream();
          reader.onClosed();
        });
    assertEquals(Event.AttemptCompleted.of(FIRST, AttemptOutcome.RESET), nextEnd());
  }

  /** Guards against {@code later}, which means that nothing has run, in a frame that was cut. */
  @ParameterizedTest
  @CsvSource({"later", "bad"})
  void failureWithBytesBehindItMayHaveRun(String end) throws Exception {
    read(Kind.PART, FrameStore.frame('q', "q.1 " + end + " 0 -\n").appendString(VALUE));
    expectReset(FIRST);
  }

  /** Guards against a load report that is cut by the length of its frame. */
  @Test
  void healthCheckReplyWithAShortLengthFails() throws Exception {
    Buffer reply = FrameStore.frame('p', "latency_ms=5,queue=10");
    read(Kind.PART, reply.setUnsignedIntLE(0, reply.getUnsignedIntLE(0) - 1));
    Event.HealthCheckCompleted completed = (Event.HealthCheckCompleted) nextEnd();
    assertEquals(AttemptOutcome.RESET, completed.outcome());
  }

  /** Guards against an event for an attempt that was cancelled while its reply was held back. */
  @Test
  void cancelledAttemptHasNoReply() throws Exception {
    read(Kind.PART, Kind.PART.reply(FIRST));
    run(() -> assertTrue(reader.withdraw(FIRST) || !events.isEmpty()));
    run(() -> assertFalse(reader.hasUnverifiedReply()));
  }

  /** A value may contain any character, also those of which the length of a frame consists. */
  @Test
  void valueWithZeroBytesIsWhole() throws Exception {
    String value = "a\u0005\u0000\u0000\u0000q\u0000\u0000";
    read(Kind.PART, FrameStore.frame('q', "q.1 good 1 -\n" + value));
    assertEquals(value, ((Event.AttemptCompleted) nextEnd()).value());
  }

  /** Waits until a frame is found to be malformed; up to then no attempt may be answered. */
  private void expectMalformed(int attempt) throws Exception {
    List<Event> seen = new ArrayList<>();
    Event event;
    do {
      event = events.poll(5, TimeUnit.SECONDS);
      assertTrue(event != null, "no frame was malformed");
      seen.add(event);
    } while (!event.equals(new Event.ConditionCounted(Counter.BAD_FRAMES)));
    run(() -> assertTrue(closed));
    events.drainTo(seen);
    assertTrue(seen.stream().noneMatch(end -> isAnswer(end, attempt)), () -> "answered: " + seen);
  }

  private static boolean isAnswer(Event end, int attempt) {
    if (end instanceof Event.FirstPassCompleted first) {
      return first.attempt() == attempt;
    }
    return end instanceof Event.AttemptCompleted completed
        && completed.attempt() == attempt
        && completed.outcome() == AttemptOutcome.OK;
  }
}

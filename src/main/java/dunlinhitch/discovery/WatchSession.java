package dunlinhitch.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The watch on one address of discovery: its requests, its phase and when it needs a timer.
 *
 * <p>Not thread-safe; {@link WatchStateMachine} owns it and decides what a failure means.
 */
final class WatchSession {
  /**
   * Factor of the delay between the very first request to an address and the next: in a process
   * that has just started the first one takes longer.
   */
  private static final int FIRST_RETRY_FACTOR = 8;

  /** Bound of the delay after a request that took longer than its backoff. */
  private static final long PROMPT_RETRY_US = 100_000;

  /** The jitter of the idle timeout is at most this fraction of it. */
  private static final int IDLE_JITTER_FRACTION = 8;

  /** Where a session is. */
  enum Phase {
    /** No request is in flight; the next is made when the backoff ends. */
    BACKING_OFF,
    /** Requests are in flight and none is answered. */
    CONNECTING,
    /** One request is answered, and lists are read from it. */
    STREAMING,
    /** Nothing happens any more. */
    ENDED
  }

  /**
   * A request in flight.
   *
   * @param startedUs when it was made, in microseconds
   * @param complete it asks for a complete list, after which its connection is of no more use
   */
  record Request(long id, long startedUs, boolean complete) {}

  private final String host;
  private final int port;
  private final Supplier<WatchTimings> timings;
  private final SplittableRandom random;
  private final WatchOutput output;
  private final Backoff backoff;

  /** Requests in flight, the oldest first; where one is answered it is the only one. */
  private final List<Request> requests = new ArrayList<>();

  private long generation;
  private Phase phase = Phase.BACKING_OFF;
  private boolean firstRequestMade;

  /**
   * The present requests have brought a list or have been alive for a while: if they fail, the
   * backoff starts again.
   */
  private boolean proven;

  private long dueUs;

  /** Since when an object is incomplete, or {@link WatchStateMachine#NEVER}. */
  private long partialSinceUs = WatchStateMachine.NEVER;

  /** {@code generation} is that of the list that is known, which may be NO_GENERATION. */
  WatchSession(
      String host,
      int port,
      long generation,
      Supplier<WatchTimings> timings,
      SplittableRandom random,
      WatchOutput output) {
    this.host = host;
    this.port = port;
    this.generation = generation;
    this.timings = timings;
    this.random = random;
    this.output = output;
    backoff = new Backoff(random.nextLong());
  }

  Phase phase() {
    return phase;
  }

  /** When the session needs its timer, or {@link WatchStateMachine#NEVER}. */
  long dueUs() {
    return dueUs;
  }

  /** A copy of the requests in flight, the oldest first. */
  List<Request> requests() {
    return List.copyOf(requests);
  }

  boolean hasRequests() {
    return !requests.isEmpty();
  }

  /** The request of that number, or null where it is not in flight. */
  Request find(long requestId) {
    for (Request request : requests) {
      if (request.id() == requestId) {
        return request;
      }
    }
    return null;
  }

  /** True where a change of that generation can be applied to the list that is known. */
  boolean isNotOlder(long otherGeneration) {
    return otherGeneration >= generation;
  }

  /** Makes a request, beside those in flight. */
  void open(long nowUs) {
    phase = Phase.CONNECTING;
    partialSinceUs = WatchStateMachine.NEVER;
    proven = false;
    long requestId = output.nextRequestId();
    boolean complete = generation == WatchStateMachine.NO_GENERATION;
    requests.add(new Request(requestId, nowUs, complete));
    dueUs = nowUs + responseTimeoutUs(timings.get());
    firstRequestMade = true;
    output.add(new WatchAction.OpenRequest(requestId, host, port, generation));
  }

  /** How long to wait for a response before the request fails or is made a second time. */
  private long responseTimeoutUs(WatchTimings current) {
    if (current.maxRequests() == 1) {
      return current.responseTimeoutUs();
    }
    return backoff.jitteredUs(
        firstRequestMade ? current.retryUs() : FIRST_RETRY_FACTOR * current.retryUs());
  }

  void close(Request request) {
    requests.remove(request);
    output.add(new WatchAction.CloseRequest(request.id()));
  }

  void closeAll() {
    requests().forEach(this::close);
  }

  /** Closes all requests for good. */
  void end() {
    phase = Phase.ENDED;
    dueUs = WatchStateMachine.NEVER;
    closeAll();
  }

  /** Polls again without a backoff. */
  void restart(long nowUs) {
    backoff.reset();
    reopen(nowUs);
  }

  /** Replaces all requests by a new one. */
  void reopen(long nowUs) {
    closeAll();
    open(nowUs);
  }

  /** Waits for the backoff after the last request has failed. */
  void backOff(long nowUs, Request failed) {
    phase = Phase.BACKING_OFF;
    long delayUs = backoff.nextDelayUs(timings.get().backoff());
    if (proven) {
      dueUs = nowUs + delayUs;
      return;
    }
    // a request that timed out has used up its delay: the backoff counts from request to request
    long promptUs = nowUs + Math.min(delayUs, backoff.jitteredUs(PROMPT_RETRY_US));
    dueUs = Math.max(promptUs, failed.startedUs() + delayUs);
  }

  /** That request is answered: the others are closed. */
  void onResponse(long nowUs, long requestId) {
    phase = Phase.STREAMING;
    for (Request request : requests()) {
      if (request.id() != requestId) {
        close(request);
      }
    }
    renewIdleTimeout(nowUs);
  }

  /** Data was received; {@code partial}: an object has begun and is incomplete. */
  void onData(long nowUs, Request request, boolean partial) {
    if (!partial) {
      partialSinceUs = WatchStateMachine.NEVER;
    } else if (partialSinceUs == WatchStateMachine.NEVER) {
      partialSinceUs = nowUs;
    }
    renewIdleTimeout(nowUs);
    if (nowUs - request.startedUs() > timings.get().idleTimeoutUs()) {
      markProven();
    }
  }

  /** A list of that generation was read. */
  void onList(long nowUs, long listGeneration) {
    generation = listGeneration;
    markProven();
    if (partialSinceUs != WatchStateMachine.NEVER) { // what is incomplete began after this list
      partialSinceUs = nowUs;
      renewIdleTimeout(nowUs);
    }
  }

  /** The next request asks for a complete list. */
  void forgetGeneration() {
    generation = WatchStateMachine.NO_GENERATION;
  }

  private void renewIdleTimeout(long nowUs) {
    WatchTimings current = timings.get();
    long jitterUs = random.nextLong(current.idleTimeoutUs() / IDLE_JITTER_FRACTION);
    dueUs = nowUs + current.idleTimeoutUs() + jitterUs;
    if (partialSinceUs != WatchStateMachine.NEVER) {
      dueUs = Math.min(dueUs, partialSinceUs + current.stallTimeoutUs());
    }
  }

  private void markProven() {
    proven = true;
    backoff.reset();
  }
}

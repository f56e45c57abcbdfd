package dunlinhitch.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The watch on one address of discovery: its requests in flight, its phase and its timer.
 *
 * <p>Not thread-safe; owned by {@link WatchStateMachine}, which decides how to handle failures.
 */
final class WatchSession {
  /**
   * The retry delay after the first request to an address is multiplied by this factor, because the
   * first request of a process that has just started takes longer than later ones.
   */
  private static final int FIRST_RETRY_FACTOR = 8;

  /** If a failed request took longer than its backoff, it is retried within this time. */
  private static final long PROMPT_RETRY_US = 100_000;

  /** The jitter of the idle timeout is below 1/8 of the timeout. */
  private static final int IDLE_JITTER_FRACTION = 8;

  /** Phase of a session. */
  enum Phase {
    /** No request is in flight; the next one is sent when the backoff ends. */
    BACKING_OFF,
    /** Requests are in flight and none has been answered. */
    CONNECTING,
    /** One request has been answered, and lists are read from its response. */
    STREAMING,
    /** The session is closed. */
    ENDED
  }

  /**
   * A request in flight.
   *
   * @param startedUs when it was sent, in microseconds
   * @param complete whether it requests a complete list; its connection is closed after that list
   */
  record Request(long id, long startedUs, boolean complete) {}

  private final String host;
  private final int port;
  private final Supplier<WatchTimings> timings;
  private final SplittableRandom random;
  private final WatchOutput output;
  private final Backoff backoff;

  /** Requests in flight, oldest first. Once one is answered, the others are closed. */
  private final List<Request> requests = new ArrayList<>();

  private long generation;
  private Phase phase = Phase.BACKING_OFF;
  private boolean firstRequestMade;

  /**
   * True once the latest request has reset the backoff. A request resets the backoff when it
   * delivers a list, or when it delivers data after being in flight for longer than the idle
   * timeout.
   */
  private boolean proven;

  private long dueUs;

  /** When the incomplete object began, or {@link WatchStateMachine#NEVER} if there is none. */
  private long partialSinceUs = WatchStateMachine.NEVER;

  /** Creates a session; {@code generation} is that of the known list, or NO_GENERATION. */
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

  /** Returns when the session's timer must fire, or {@link WatchStateMachine#NEVER}. */
  long dueUs() {
    return dueUs;
  }

  /** Returns a copy of the requests in flight, oldest first. */
  List<Request> requests() {
    return List.copyOf(requests);
  }

  boolean hasRequests() {
    return !requests.isEmpty();
  }

  /** Returns the request with this id, or null if it is not in flight. */
  Request find(long requestId) {
    for (Request request : requests) {
      if (request.id() == requestId) {
        return request;
      }
    }
    return null;
  }

  /** Returns true if a change of this generation can be applied to the known list. */
  boolean isNotOlder(long otherGeneration) {
    return otherGeneration >= generation;
  }

  /** Opens another request; those in flight continue. */
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

  /** Returns how long to wait for a response before the request fails or another one is sent. */
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

  /** Closes all requests and ends the session. */
  void end() {
    phase = Phase.ENDED;
    dueUs = WatchStateMachine.NEVER;
    closeAll();
  }

  /** Resets the backoff and sends a new request immediately. */
  void restart(long nowUs) {
    backoff.reset();
    reopen(nowUs);
  }

  /** Replaces all requests in flight with a new one. */
  void reopen(long nowUs) {
    closeAll();
    open(nowUs);
  }

  /** Starts the backoff after the last request in flight has failed. */
  void backOff(long nowUs, Request failed) {
    phase = Phase.BACKING_OFF;
    long delayUs = backoff.nextDelayUs(timings.get().backoff());
    if (proven) {
      dueUs = nowUs + delayUs;
      return;
    }
    // The backoff starts when the failed request is sent. If the request timed out, the backoff has
    // usually elapsed already.
    long promptUs = nowUs + Math.min(delayUs, backoff.jitteredUs(PROMPT_RETRY_US));
    dueUs = Math.max(promptUs, failed.startedUs() + delayUs);
  }

  /** Handles a response to a request and closes the other requests. */
  void onResponse(long nowUs, long requestId) {
    phase = Phase.STREAMING;
    for (Request request : requests()) {
      if (request.id() != requestId) {
        close(request);
      }
    }
    renewIdleTimeout(nowUs);
  }

  /** Handles received data; {@code partial} is true while an object is incomplete. */
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

  /** Handles a list of this generation. */
  void onList(long nowUs, long listGeneration) {
    generation = listGeneration;
    markProven();
    // An object that is still incomplete began after this list, so its stall timeout restarts.
    if (partialSinceUs != WatchStateMachine.NEVER) {
      partialSinceUs = nowUs;
      renewIdleTimeout(nowUs);
    }
  }

  /** Makes the next request ask for a complete list. */
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

package dunlinhitch.discovery;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * State machine of the watch on discovery: when the list is requested, when a request is given up
 * and repeated, and which of two addresses is read while discovery moves. What happened goes in,
 * {@link WatchAction}s come out. Each request has a number of its own; what is received for one
 * that was closed changes nothing.
 *
 * <p>Pure: no I/O, clock or threads. Times are microseconds on the broker's clock. Not thread-safe.
 */
final class WatchStateMachine {
  /** No list of the address is known: another discovery has generations of its own. */
  static final long NO_GENERATION = -1;

  /** The time of a timer that is not needed. */
  static final long NEVER = Long.MAX_VALUE;

  /** The timings by the settings in force. */
  private final Supplier<WatchTimings> timings;

  private final SplittableRandom random;
  private final long initialGeneration;
  private final WatchOutput output = new WatchOutput();

  /** The session on discovery's address; null until there is one. */
  private WatchSession current;

  /** The session on the address before, read until the current one has sent a list; or null. */
  private WatchSession previous;

  /** When something was received last from the current address. */
  private long lastReceivedUs;

  private boolean unavailableReported;

  /** {@code initialGeneration} is that of the list known at the start. */
  WatchStateMachine(Supplier<WatchTimings> timings, long initialGeneration, long seed) {
    this.timings = timings;
    this.initialGeneration = initialGeneration;
    random = new SplittableRandom(seed);
  }

  /** True where what is received for that request is to be read. */
  boolean isActive(long requestId) {
    return sessionOf(requestId) != null;
  }

  /** Discovery is at that address from now on; a watch that streams is read until it has a list. */
  List<WatchAction> follow(long nowUs, String host, int port) {
    boolean first = current == null;
    if (previous != null) { // the latest address has not sent a list yet
      current.end();
    } else {
      previous = current;
    }
    if (previous != null && previous.phase() != WatchSession.Phase.STREAMING) {
      previous.end();
      previous = null;
    }
    long generation = first ? initialGeneration : NO_GENERATION;
    current = new WatchSession(host, port, generation, timings, random, output);
    lastReceivedUs = unavailableReported ? lastReceivedUs : nowUs;
    current.open(nowUs);
    return output.drain();
  }

  /** Requests what follows the known list again; a request in flight will do. */
  List<WatchAction> resync(long nowUs) {
    boolean idle =
        current != null
            && current.phase() != WatchSession.Phase.CONNECTING
            && current.phase() != WatchSession.Phase.ENDED;
    if (idle) {
      current.restart(nowUs);
    }
    return output.drain();
  }

  /** Ends the watch for good. */
  List<WatchAction> stop() {
    for (WatchSession session : sessions()) {
      session.end();
    }
    return output.drain();
  }

  /** The head of a response was received which announces a list. */
  List<WatchAction> onResponse(long nowUs, long requestId) {
    WatchSession session = sessionOf(requestId);
    if (session != null && session.phase() == WatchSession.Phase.CONNECTING) {
      session.onResponse(nowUs, requestId);
    }
    return output.drain();
  }

  /**
   * Data was received, perhaps an empty line; {@code partial}: an object has begun and is
   * incomplete.
   */
  List<WatchAction> onData(long nowUs, long requestId, boolean partial) {
    WatchSession session = sessionOf(requestId);
    if (session != null) {
      session.onData(nowUs, session.find(requestId), partial);
      if (session == current) {
        lastReceivedUs = nowUs;
        reportRecovered();
      }
    }
    return output.drain();
  }

  /** A complete list or a change of that generation was read. */
  List<WatchAction> onList(long nowUs, long requestId, long generation) {
    WatchSession session = sessionOf(requestId);
    if (session != null) {
      session.onList(nowUs, generation);
      if (session == current && previous != null) { // the new address has taken over
        previous.end();
        previous = null;
      }
      if (session.find(requestId).complete()) { // now follow what comes after it
        session.reopen(nowUs);
      }
    }
    return output.drain();
  }

  /**
   * True where a list of that generation can be applied. A change of an older generation than the
   * known one is of another numbering or was overtaken: its base is not known.
   */
  boolean accepts(long requestId, long generation, boolean completeList) {
    WatchSession session = sessionOf(requestId);
    if (session == null) {
      return false;
    }
    return completeList || session.find(requestId).complete() || session.isNotOlder(generation);
  }

  /** What was received for that request can not be applied: a complete list is needed. */
  List<WatchAction> onUnusableList(long nowUs, long requestId) {
    WatchSession session = sessionOf(requestId);
    if (session != null) {
      session.forgetGeneration();
      fail(session, nowUs, session.find(requestId));
    }
    return output.drain();
  }

  /** The request failed, ended, or brought what is no list. */
  List<WatchAction> onFailure(long nowUs, long requestId) {
    WatchSession session = sessionOf(requestId);
    if (session != null) {
      fail(session, nowUs, session.find(requestId));
    }
    return output.drain();
  }

  /** When {@link #onTimer} is needed at the latest, or {@link #NEVER}. */
  long nextUs() {
    long nextUs = NEVER;
    for (WatchSession session : sessions()) {
      nextUs = Math.min(nextUs, session.dueUs());
    }
    return nextUs;
  }

  /** Time has passed: timeouts and backoffs that are due take effect. */
  List<WatchAction> onTimer(long nowUs) {
    for (WatchSession session : sessions()) {
      if (session.phase() != WatchSession.Phase.ENDED && session.dueUs() <= nowUs) {
        onDue(session, nowUs);
      }
    }
    return output.drain();
  }

  private void onDue(WatchSession session, long nowUs) {
    WatchTimings now = timings.get();
    if (session.phase() == WatchSession.Phase.BACKING_OFF) {
      session.open(nowUs);
      return;
    }
    List<WatchSession.Request> requests = session.requests();
    if (session.phase() == WatchSession.Phase.STREAMING || now.maxRequests() == 1) {
      for (WatchSession.Request request : requests) { // several after a change of settings
        fail(session, nowUs, request);
      }
      return;
    }
    reportUnavailable();
    if (requests.size() >= now.maxRequests()) {
      boolean oldestMayAnswer = nowUs - requests.get(0).startedUs() < now.responseTimeoutUs();
      fail(session, nowUs, requests.get(oldestMayAnswer ? 1 : 0));
    }
    session.open(nowUs);
  }

  /** That request ended or is given up; others may be in flight beside it. */
  private void fail(WatchSession session, long nowUs, WatchSession.Request request) {
    output.add(new WatchAction.CountFailure());
    session.close(request);
    if (session != current) { // discovery has moved away from this address
      previous = null;
      session.end();
      return;
    }
    reportUnavailable();
    if (!session.hasRequests()) {
      session.backOff(nowUs, request);
    }
  }

  private void reportUnavailable() {
    if (!unavailableReported) {
      unavailableReported = true;
      output.add(new WatchAction.ReportUnavailable(lastReceivedUs));
    }
  }

  private void reportRecovered() {
    if (unavailableReported) {
      unavailableReported = false;
      output.add(new WatchAction.ReportRecovered());
    }
  }

  private WatchSession sessionOf(long requestId) {
    if (current != null && current.find(requestId) != null) {
      return current;
    }
    return previous != null && previous.find(requestId) != null ? previous : null;
  }

  /** The sessions there are, the previous one first. */
  private List<WatchSession> sessions() {
    if (current == null) {
      return List.of();
    }
    return previous == null ? List.of(current) : List.of(previous, current);
  }
}

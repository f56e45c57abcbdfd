package dunlinhitch.discovery;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * State machine of the watch on discovery. It decides when the list is requested, when a request is
 * abandoned and repeated, and whether the old or the new address is read while discovery moves. Its
 * inputs are events, its outputs are {@link WatchAction}s. Each request has a unique id; events of
 * closed requests are ignored.
 *
 * <p>Uses no I/O, clock or threads. Times are in microseconds of the broker's clock. Not
 * thread-safe.
 */
final class WatchStateMachine {
  /**
   * Value of a generation while no list of the address is known. Each address numbers its
   * generations separately.
   */
  static final long NO_GENERATION = -1;

  /** Due time of a timer that is not needed. */
  static final long NEVER = Long.MAX_VALUE;

  /** Supplies the timings for the current settings. */
  private final Supplier<WatchTimings> timings;

  private final SplittableRandom random;
  private final long initialGeneration;
  private final WatchOutput output = new WatchOutput();

  /** The session on the current address; null until an address is followed. */
  private WatchSession current;

  /** The session on the previous address, read until the current one has sent a list; or null. */
  private WatchSession previous;

  /** When data was last received from the current address. */
  private long lastReceivedUs;

  private boolean unavailableReported;

  /** Creates a state machine; {@code initialGeneration} is that of the list known at the start. */
  WatchStateMachine(Supplier<WatchTimings> timings, long initialGeneration, long seed) {
    this.timings = timings;
    this.initialGeneration = initialGeneration;
    random = new SplittableRandom(seed);
  }

  /** Returns true if data received for this request must be read. */
  boolean isActive(long requestId) {
    return sessionOf(requestId) != null;
  }

  /**
   * Switches to a new address. An open watch on the old address is read until the new address has
   * sent a list.
   */
  List<WatchAction> follow(long nowUs, String host, int port) {
    boolean first = current == null;
    if (previous != null) { // the current address has not sent a list yet
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

  /** Requests the changes since the known list, unless such a request is already in flight. */
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

  /** Ends the watch permanently. */
  List<WatchAction> stop() {
    for (WatchSession session : sessions()) {
      session.end();
    }
    return output.drain();
  }

  /** Handles the head of a successful response. */
  List<WatchAction> onResponse(long nowUs, long requestId) {
    WatchSession session = sessionOf(requestId);
    if (session != null && session.phase() == WatchSession.Phase.CONNECTING) {
      session.onResponse(nowUs, requestId);
    }
    return output.drain();
  }

  /**
   * Handles received data, which may be just an empty line; {@code partial} is true while an object
   * is incomplete.
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

  /** Handles a complete list, or a list of changes, that has this generation. */
  List<WatchAction> onList(long nowUs, long requestId, long generation) {
    WatchSession session = sessionOf(requestId);
    if (session != null) {
      session.onList(nowUs, generation);
      // the new address has delivered its first list: the previous session is no longer needed
      if (session == current && previous != null) {
        previous.end();
        previous = null;
      }
      // after a complete list, a new request is needed to receive the changes since that list
      if (session.find(requestId).complete()) {
        session.reopen(nowUs);
      }
    }
    return output.drain();
  }

  /**
   * Returns true if a list of this generation can be applied. A change older than the known
   * generation cannot be applied: it is outdated, or the server has restarted its numbering.
   */
  boolean accepts(long requestId, long generation, boolean completeList) {
    WatchSession session = sessionOf(requestId);
    if (session == null) {
      return false;
    }
    return completeList || session.find(requestId).complete() || session.isNotOlder(generation);
  }

  /** Requests a complete list, because the received list cannot be applied. */
  List<WatchAction> onUnusableList(long nowUs, long requestId) {
    WatchSession session = sessionOf(requestId);
    if (session != null) {
      session.forgetGeneration();
      fail(session, nowUs, session.find(requestId));
    }
    return output.drain();
  }

  /** Handles a request that failed, ended, or received malformed data. */
  List<WatchAction> onFailure(long nowUs, long requestId) {
    WatchSession session = sessionOf(requestId);
    if (session != null) {
      fail(session, nowUs, session.find(requestId));
    }
    return output.drain();
  }

  /** Returns the latest time at which to call {@link #onTimer}, or {@link #NEVER}. */
  long nextUs() {
    long nextUs = NEVER;
    for (WatchSession session : sessions()) {
      nextUs = Math.min(nextUs, session.dueUs());
    }
    return nextUs;
  }

  /** Applies the timeouts and backoffs that are due. */
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
      // Usually one request is in flight here. There are several only if new settings have lowered
      // the limit to 1.
      for (WatchSession.Request request : requests) {
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

  /**
   * Closes a failed or abandoned request and counts the failure. A session on the old address ends.
   * A session on the current address starts its backoff if it has no other request in flight.
   */
  private void fail(WatchSession session, long nowUs, WatchSession.Request request) {
    output.add(new WatchAction.CountFailure());
    session.close(request);
    if (session != current) {
      // Discovery has moved to another address, so the request to the old address is not repeated.
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

  /** Returns the existing sessions, the previous one first. */
  private List<WatchSession> sessions() {
    if (current == null) {
      return List.of();
    }
    return previous == null ? List.of(current) : List.of(previous, current);
  }
}

package dunlinhitch.backend.flight;

import dunlinhitch.backend.RequestText;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStatusCode;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Ticket;

/**
 * One call to a store: a DoGet whose stream has a row for each part. The stream is read on a reader
 * thread, and rows are passed to the event loop batch by batch. If the stream ends early, parts
 * whose rows were received are complete and the others may have run.
 */
final class FlightCall implements Runnable {
  private static final String CANCEL_REASON = "cancelled by the broker";

  /** Receives the outcomes of a call's attempts; called on the event loop. */
  interface Listener {
    /** Called once for each attempt that was not cancelled. */
    void onCompleted(Event.AttemptCompleted completion);

    /** Called after an attempt was abandoned and completed as unconfirmed. */
    void onAbandoned(FlightCall call, String partId, long attempt);

    /** Called when the store no longer has a cancelled or abandoned attempt. */
    void onReleased(long attempt);
  }

  private final FlightTransports shared;
  private final FlightClient client;
  private final BooleanSupplier mustNotSend;
  private final Listener listener;
  private final List<AttemptRequest> parts;
  private final long sentUs;
  private final long dueUs;

  /** Attempts whose row was not received yet, by part id; used on the event loop only. */
  private final Map<String, Long> inFlight = new HashMap<>();

  /** Parts whose row was received or that were cancelled; used on the event loop only. */
  private final Set<String> ended = new HashSet<>();

  /**
   * Attempts that the store may still have and whose release is to be reported, by part id:
   * abandoned attempts, and cancelled ones for which a report was requested. Used on the event loop
   * only.
   */
  private final Map<String, Long> unconfirmed = new HashMap<>();

  /** Attempts that must not be sent any more; read by the reader thread. */
  private final Set<Long> stopped = ConcurrentHashMap.newKeySet();

  private final AfterSending afterSending = new AfterSending();
  private volatile FlightStream stream;
  private volatile boolean cancelled;

  /**
   * Creates a call that is not sent yet.
   *
   * @param mustNotSend evaluated on the reader thread just before the call is sent; if true, the
   *     call is not sent and its attempts fail with {@code CONNECT_FAILED}
   */
  FlightCall(
      FlightTransports shared,
      FlightClient client,
      List<AttemptRequest> parts,
      BooleanSupplier mustNotSend,
      Listener listener) {
    this.shared = shared;
    this.client = client;
    this.mustNotSend = mustNotSend;
    this.listener = listener;
    this.parts = List.copyOf(parts);
    sentUs = shared.nowUs();
    dueUs = parts.stream().mapToLong(AttemptRequest::dueUs).max().orElseThrow();
    parts.forEach(part -> inFlight.put(part.partId(), part.attempt()));
  }

  /** The time at which the call was created, in microseconds. */
  long sentUs() {
    return sentUs;
  }

  /**
   * Cancels one attempt, and the stream if no attempt is left. Called on the event loop.
   *
   * @param confirm whether the release of the attempt is to be reported
   * @return the id of its part; empty if the attempt had already ended
   */
  String cancel(long attempt, boolean confirm) {
    stop(attempt);
    String partId =
        inFlight.entrySet().stream()
            .filter(entry -> entry.getValue() == attempt)
            .map(Map.Entry::getKey)
            .findFirst()
            .orElse("");
    inFlight.remove(partId);
    ended.add(partId);
    if (confirm) {
      unconfirmed.put(partId, attempt);
    }
    if (inFlight.isEmpty()) {
      cancelStream();
    }
    return partId;
  }

  /** Runs a task once the call was sent. Called on the event loop. */
  void afterSending(Runnable task) {
    afterSending.run(task);
  }

  private void onSent(int attempts) {
    shared.events().accept(new Event.AttemptsWritten(attempts));
    afterSending.onSent();
  }

  /**
   * Prevents an attempt from being sent. If its call was not sent yet, the attempt ends without
   * having run.
   */
  void stop(long attempt) {
    stopped.add(attempt);
  }

  /**
   * Cancels the stream and completes the attempts without a row as reset and unconfirmed: these
   * attempts may have run, and the store may still be working on them.
   */
  void abandon() {
    cancelStream();
    takeInFlight()
        .forEach(
            (partId, attempt) -> {
              ended.add(partId);
              unconfirmed.put(partId, attempt);
              listener.onCompleted(
                  Event.AttemptCompleted.unconfirmed(attempt, AttemptOutcome.RESET));
              listener.onAbandoned(this, partId, attempt);
            });
  }

  private void cancelStream() {
    cancelled = true;
    FlightStream current = stream;
    if (current != null) {
      current.cancel(CANCEL_REASON, null);
    }
  }

  @Override
  public void run() {
    try {
      send();
    } catch (RuntimeException | Error fault) {
      // nothing else would end the attempts; they may have run
      shared.onLoop(this::abandon);
      shared.reportFault(fault);
    }
  }

  private void send() {
    long nowUs = shared.nowUs();
    boolean maySend = !cancelled && !mustNotSend.getAsBoolean();
    List<AttemptRequest> sent =
        parts.stream()
            .filter(part -> maySend && part.maySendAt(nowUs) && !stopped.contains(part.attempt()))
            .toList();
    if (sent.size() < parts.size()) {
      List<AttemptRequest> unsent = parts.stream().filter(part -> !sent.contains(part)).toList();
      shared.onLoop(() -> failUnsent(unsent));
    }
    if (sent.isEmpty()) {
      return;
    }
    try {
      FlightStream opened =
          client.getStream(
              new Ticket(RequestText.of(sent, nowUs)), FlightTransport.timeout(dueUs, nowUs));
      shared.onLoop(() -> onSent(sent.size()));
      readAll(opened);
    } catch (RuntimeException e) {
      // Flight and gRPC throw several unrelated types if a stream breaks, is cancelled or never
      // starts; in each case attempts without a row may have run
      if (endedByThisSide(e)) {
        shared.onLoop(this::abandon);
        return;
      }
    }
    shared.onLoop(this::reset);
  }

  private void readAll(FlightStream opened) {
    try {
      stream = opened;
      if (cancelled) {
        opened.cancel(CANCEL_REASON, null);
      }
      while (opened.next()) {
        List<ReplyRow> rows = ReplyRow.readAll(opened.getRoot());
        shared.onLoop(() -> rows.forEach(this::onRow));
      }
    } finally {
      close(opened);
    }
  }

  private static void close(FlightStream opened) {
    try {
      opened.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) { // AutoCloseable.close declares Exception
      throw new IllegalStateException("could not close a Flight stream", e);
    }
  }

  private void onRow(ReplyRow row) {
    boolean requested = inFlight.containsKey(row.partId()) || ended.contains(row.partId());
    if (row.isMalformed() || !requested) {
      // after an invalid row the rest of the stream cannot be trusted
      shared.events().accept(new Event.ConditionCounted(Counter.BAD_FRAMES));
      abandon();
      return;
    }
    Long attempt = inFlight.remove(row.partId());
    if (attempt == null) {
      release(row.partId());
      return;
    }
    ended.add(row.partId());
    listener.onCompleted(
        new Event.AttemptCompleted(
            attempt,
            row.outcome(),
            shared.reports().parse(row.report()),
            row.value(),
            row.score()));
  }

  private void failUnsent(List<AttemptRequest> unsent) {
    for (AttemptRequest part : unsent) {
      if (inFlight.remove(part.partId()) != null) {
        listener.onCompleted(
            Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.CONNECT_FAILED));
      } else {
        release(part.partId());
      }
    }
  }

  /**
   * Returns false if the failure is a status that the store has sent, else true. The statuses of
   * timeouts and cancellations are created by this side.
   */
  private static boolean endedByThisSide(RuntimeException failure) {
    if (!(failure instanceof FlightRuntimeException flightFailure)) {
      return true;
    }
    FlightStatusCode code = flightFailure.status().code();
    return code == FlightStatusCode.TIMED_OUT || code == FlightStatusCode.CANCELLED;
  }

  /**
   * Handles the end of the stream by the store: completes the attempts in flight as reset and
   * releases the unconfirmed attempts.
   */
  private void reset() {
    takeInFlight()
        .values()
        .forEach(
            attempt ->
                listener.onCompleted(Event.AttemptCompleted.of(attempt, AttemptOutcome.RESET)));
    Set.copyOf(unconfirmed.keySet()).forEach(this::release);
  }

  private void release(String partId) {
    Long attempt = unconfirmed.remove(partId);
    if (attempt != null) {
      listener.onReleased(attempt);
    }
  }

  private Map<String, Long> takeInFlight() {
    Map<String, Long> taken = Map.copyOf(inFlight);
    inFlight.clear();
    return taken;
  }
}

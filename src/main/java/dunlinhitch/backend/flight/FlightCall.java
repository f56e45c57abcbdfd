package dunlinhitch.backend.flight;

import dunlinhitch.backend.ExactText;
import dunlinhitch.backend.RequestText;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import java.util.ArrayList;
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
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;

/**
 * One call to a store: a DoGet whose stream has a row for each part. The stream is read on a reader
 * thread, and rows are handed to the event loop batch by batch. Where the stream ends early, parts
 * whose rows were received are complete and the others may have run.
 */
final class FlightCall implements Runnable {
  static final List<String> COLUMNS = List.of("id", "end", "score", "report", "value");

  private static final String CANCEL_REASON = "given up";

  /** One row as received; a text that is no UTF-8 is null. */
  private record Row(String partId, String end, double score, String report, String value) {}

  /** Learns how the attempts of a call end; called on the event loop. */
  interface Listener {
    /** Called once for each attempt that was not cancelled. */
    void onCompleted(Event.AttemptCompleted completion);

    /** The call gave up an attempt, which completed as unconfirmed. */
    void onAbandoned(FlightCall call, String partId, long attempt);

    /** The store does not have a cancelled or abandoned attempt any more. */
    void onReleased(long attempt);
  }

  private final FlightTransports shared;
  private final FlightClient client;
  private final BooleanSupplier mayNotSend;
  private final Listener listener;
  private final List<AttemptRequest> parts;
  private final long sentUs;
  private final long dueUs;

  /** Attempts without their row, by part; used on the event loop only. */
  private final Map<String, Long> inFlight = new HashMap<>();

  /** Parts that had their row or were cancelled; used on the event loop only. */
  private final Set<String> ended = new HashSet<>();

  /**
   * Attempts that were abandoned, or cancelled with a wish for their release, by part; used on the
   * event loop only.
   */
  private final Map<String, Long> unconfirmed = new HashMap<>();

  /** Attempts that must not be sent if they were not yet; read by the reader thread. */
  private final Set<Long> stopped = ConcurrentHashMap.newKeySet();

  private final AfterSending afterSending = new AfterSending();
  private volatile FlightStream stream;
  private volatile boolean cancelled;

  /**
   * Creates a call that is not sent yet.
   *
   * @param mayNotSend evaluated on the reader thread, just before the call is sent
   */
  FlightCall(
      FlightTransports shared,
      FlightClient client,
      List<AttemptRequest> parts,
      BooleanSupplier mayNotSend,
      Listener listener) {
    this.shared = shared;
    this.client = client;
    this.mayNotSend = mayNotSend;
    this.listener = listener;
    this.parts = List.copyOf(parts);
    sentUs = shared.nowUs();
    dueUs = parts.stream().mapToLong(AttemptRequest::dueUs).max().orElseThrow();
    parts.forEach(part -> inFlight.put(part.partId(), part.attempt()));
  }

  /** When the call was handed over for sending, in microseconds. */
  long sentUs() {
    return sentUs;
  }

  /**
   * Cancels one attempt, and the stream with the last one. On the event loop.
   *
   * @param confirm whether the release of the attempt is to be reported
   * @return the id of its part; empty where it ended before
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

  /** Runs a task once the call is on its way. On the event loop. */
  void afterSending(Runnable task) {
    afterSending.run(task);
  }

  private void onSent(int attempts) {
    shared.events().accept(new Event.AttemptsWritten(attempts));
    afterSending.onSent();
  }

  /** The attempt ends as one that never ran if its call was not sent yet. */
  void stop(long attempt) {
    stopped.add(attempt);
  }

  /**
   * Gives the call up: what has no row by now may have run, and the store may not know of the end.
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
    long nowUs = shared.nowUs();
    boolean maySend = !cancelled && !mayNotSend.getAsBoolean();
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
      // Flight and gRPC throw several unrelated types where a stream is cut, cancelled or never
      // begins; whichever it was, what has no row by now may have run
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
        List<Row> rows = rows(opened.getRoot());
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
    } catch (Exception e) { // what AutoCloseable declares
      throw new IllegalStateException("a stream could not be closed", e);
    }
  }

  private static List<Row> rows(VectorSchemaRoot root) {
    List<Row> rows = new ArrayList<>();
    for (int row = 0; row < root.getRowCount(); row++) {
      List<String> values = new ArrayList<>();
      for (String column : COLUMNS) {
        FieldVector vector = root.getVector(column);
        byte[] bytes = vector instanceof VarCharVector text ? text.get(row) : null;
        values.add(bytes == null ? "" : ExactText.of(bytes));
      }
      rows.add(
          new Row(
              values.get(0),
              values.get(1),
              values.get(2) == null ? Double.NaN : RequestText.score(values.get(2)),
              values.get(3),
              values.get(4)));
    }
    return rows;
  }

  private void onRow(Row row) {
    AttemptOutcome outcome =
        row.partId() == null || row.end() == null ? null : RequestText.end(row.end());
    boolean requested = inFlight.containsKey(row.partId()) || ended.contains(row.partId());
    if (outcome == null || row.value() == null || !requested) {
      // nothing that follows on such a stream can be trusted
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
            outcome,
            shared.reports().parse(row.report() == null ? "" : row.report()),
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

  /** A timeout or a cancellation: the status is made here, the store has not sent it. */
  private static boolean endedByThisSide(RuntimeException failure) {
    if (!(failure instanceof FlightRuntimeException flightFailure)) {
      return true;
    }
    FlightStatusCode code = flightFailure.status().code();
    return code == FlightStatusCode.TIMED_OUT || code == FlightStatusCode.CANCELLED;
  }

  /** The store has ended the stream. */
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

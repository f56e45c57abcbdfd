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
import java.util.function.Consumer;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;

/**
 * One call to a store, a DoGet with a row for each part. Its stream is read off the loop; rows are
 * handed to it batch by batch. Where the stream ends early, parts whose rows came whole are in, the
 * others may have run.
 */
final class FlightCall implements Runnable {
  static final List<String> COLUMNS = List.of("id", "end", "score", "report", "value");

  private record Row(String id, String end, double score, String report, String value) {}

  private final FlightStores shared;
  private final FlightClient client;
  private final BooleanSupplier barred;
  private final Consumer<Event.AttemptCompleted> over;
  private final List<AttemptRequest> parts;
  private final long sentUs;
  private final long dueUs;

  /** Parts without their row; only the loop touches it. */
  private final Map<String, Long> open = new HashMap<>();

  /** Parts that had their row, or were given up; only the loop touches it. */
  private final Set<String> behind = new HashSet<>();

  /** Attempts that leave no more if they have not yet; read by the thread that makes the call. */
  private final Set<Long> stopped = ConcurrentHashMap.newKeySet();

  private volatile FlightStream stream;
  private volatile boolean cancelled;

  FlightCall(
      FlightStores shared,
      FlightClient client,
      List<AttemptRequest> parts,
      BooleanSupplier barred,
      Consumer<Event.AttemptCompleted> over) {
    this.shared = shared;
    this.client = client;
    this.barred = barred;
    this.over = over;
    this.parts = List.copyOf(parts);
    sentUs = shared.nowUs();
    dueUs = parts.stream().mapToLong(AttemptRequest::dueUs).max().orElseThrow();
    parts.forEach(p -> open.put(p.partId(), p.attempt()));
  }

  long sentUs() {
    return sentUs;
  }

  /** Returns the id of the part; the stream goes with its last. */
  String giveUp(long attempt) {
    stop(attempt);
    String id =
        open.entrySet().stream()
            .filter(e -> e.getValue() == attempt)
            .map(Map.Entry::getKey)
            .findFirst()
            .orElse("");
    open.remove(id);
    behind.add(id);
    if (open.isEmpty()) {
      cancel();
    }
    return id;
  }

  /** The attempt ends, as one that never ran, if its call has not been made yet. */
  void stop(long attempt) {
    stopped.add(attempt);
  }

  /** Nothing comes from there any more: what has no row by now may have run. */
  void lost() {
    cancel();
    ended(AttemptOutcome.RESET);
  }

  private void cancel() {
    cancelled = true;
    FlightStream read = stream;
    if (read != null) {
      read.cancel("given up", null);
    }
  }

  @Override
  public void run() {
    long now = shared.nowUs();
    boolean mayLeave = !cancelled && !barred.getAsBoolean();
    List<AttemptRequest> leaving =
        parts.stream()
            .filter(p -> mayLeave && p.mayLeave(now) && !stopped.contains(p.attempt()))
            .toList();
    if (leaving.size() < parts.size()) {
      List<AttemptRequest> others = parts.stream().filter(p -> !leaving.contains(p)).toList();
      shared.onLoop(() -> neverLeft(others));
    }
    if (leaving.isEmpty()) {
      return;
    }
    try {
      FlightStream made =
          client.getStream(
              new Ticket(RequestText.of(leaving, now)), FlightTransport.until(dueUs, now));
      shared.onLoop(() -> shared.events().accept(new Event.AttemptsWritten(leaving.size())));
      read(made);
    } catch (RuntimeException e) {
      // the stream was cut, cancelled or never began: what has no row by now may have run
    }
    shared.onLoop(() -> ended(AttemptOutcome.RESET));
  }

  private void read(FlightStream read) {
    try {
      stream = read;
      if (cancelled) {
        read.cancel("given up", null);
      }
      while (read.next()) {
        List<Row> rows = rows(read.getRoot());
        shared.onLoop(() -> rows.forEach(this::take));
      }
    } finally {
      close(read);
    }
  }

  private static void close(FlightStream read) {
    try {
      read.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      throw new IllegalStateException("a stream could not be closed", e);
    }
  }

  private static List<Row> rows(VectorSchemaRoot root) {
    List<Row> rows = new ArrayList<>();
    for (int i = 0; i < root.getRowCount(); i++) {
      List<String> values = new ArrayList<>();
      for (String column : COLUMNS) {
        FieldVector vector = root.getVector(column);
        byte[] bytes = vector instanceof VarCharVector text ? text.get(i) : null;
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

  private void take(Row row) {
    AttemptOutcome outcome =
        row.id() == null || row.end() == null ? null : RequestText.end(row.end());
    boolean asked = open.containsKey(row.id()) || behind.contains(row.id());
    if (outcome == null
        || row.value() == null
        || !asked) { // nothing that such a stream says can be trusted
      shared.events().accept(new Event.ConditionCounted(Counter.BAD_FRAMES));
      cancel();
      ended(AttemptOutcome.RESET);
      return;
    }
    Long attempt = open.remove(row.id());
    if (attempt != null) {
      behind.add(row.id());
      over.accept(
          new Event.AttemptCompleted(
              attempt,
              outcome,
              shared.reports().read(row.report() == null ? "" : row.report()),
              row.value(),
              row.score()));
    }
  }

  private void neverLeft(List<AttemptRequest> others) {
    others.stream()
        .filter(p -> open.remove(p.partId()) != null)
        .forEach(
            p ->
                over.accept(Event.AttemptCompleted.of(p.attempt(), AttemptOutcome.CONNECT_FAILED)));
  }

  private void ended(AttemptOutcome outcome) {
    List<Long> lost = List.copyOf(open.values());
    open.clear();
    lost.forEach(attempt -> over.accept(Event.AttemptCompleted.of(attempt, outcome)));
  }
}

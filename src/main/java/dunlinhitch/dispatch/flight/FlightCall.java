package dunlinhitch.dispatch.flight;

import dunlinhitch.core.Count;
import dunlinhitch.core.Effect.PartSend;
import dunlinhitch.core.Event;
import dunlinhitch.decide.Routing.Outcome;
import dunlinhitch.dispatch.CallText;
import dunlinhitch.dispatch.ExactText;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;

/**
 * One call to a store, a DoGet with a row for each part. Its stream is read off the loop; rows are handed to it batch
 * by batch. Where the stream ends early, parts whose rows came whole are in, the others may have run.
 */
final class FlightCall implements Runnable {
    static final List<String> COLUMNS = List.of("id", "end", "score", "report", "value");

    private record Row(String id, String end, double score, String report, String value) {
    }

    private final FlightStores shared;
    private final FlightClient client;
    private final BooleanSupplier barred;
    private final Consumer<Event.AttemptOver> over;
    private final byte[] ticket;
    private final int tries;
    private final long sentUs;
    private final long dueUs;
    /** Parts without their row; only the loop touches it. */
    private final Map<String, Long> open = new HashMap<>();
    /** Parts that had their row, or were given up; only the loop touches it. */
    private final Set<String> behind = new HashSet<>();
    private volatile FlightStream stream;
    private volatile boolean cancelled;

    FlightCall(FlightStores shared, FlightClient client, List<PartSend> parts, BooleanSupplier barred,
            Consumer<Event.AttemptOver> over) {
        this.shared = shared;
        this.client = client;
        this.barred = barred;
        this.over = over;
        tries = parts.size();
        sentUs = shared.nowUs();
        ticket = CallText.of(parts, sentUs);
        dueUs = parts.stream().mapToLong(PartSend::dueUs).max().orElseThrow();
        parts.forEach(p -> open.put(p.partId(), p.attempt()));
    }

    long sentUs() {
        return sentUs;
    }

    /** Returns the id of the part; the stream goes with its last. */
    String giveUp(long attempt) {
        String id = open.entrySet().stream().filter(e -> e.getValue() == attempt).map(Map.Entry::getKey).findFirst()
                .orElse("");
        open.remove(id);
        behind.add(id);
        if (open.isEmpty()) {
            cancel();
        }
        return id;
    }

    /** Nothing comes from there any more: what has no row by now may have run. */
    void lost() {
        cancel();
        ended(Outcome.RESET);
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
        if (barred.getAsBoolean()) {
            shared.onLoop(() -> ended(Outcome.CONNECT_FAILED)); // it never left
            return;
        }
        try {
            FlightStream made = client.getStream(new Ticket(ticket), FlightTransport.until(dueUs, shared.nowUs()));
            shared.onLoop(() -> shared.events().accept(new Event.TriesWritten(tries)));
            read(made);
        } catch (RuntimeException e) {
            // the stream was cut, cancelled or never began: what has no row by now may have run
        }
        shared.onLoop(() -> ended(Outcome.RESET));
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
            rows.add(new Row(values.get(0), values.get(1), values.get(2) == null ? Double.NaN : CallText.score(values.get(2)),
                    values.get(3), values.get(4)));
        }
        return rows;
    }

    private void take(Row row) {
        Outcome outcome = row.id() == null || row.end() == null ? null : CallText.end(row.end());
        boolean asked = open.containsKey(row.id()) || behind.contains(row.id());
        if (outcome == null || row.value() == null || !asked) { // nothing that such a stream says can be trusted
            shared.events().accept(new Event.Noted(Count.BAD_FRAMES));
            cancel();
            ended(Outcome.RESET);
            return;
        }
        Long attempt = open.remove(row.id());
        if (attempt != null) {
            behind.add(row.id());
            over.accept(new Event.AttemptOver(attempt, outcome, shared.reports().read(row.report() == null ? "" : row.report()), row.value(),
                    row.score()));
        }
    }

    private void ended(Outcome outcome) {
        List<Long> lost = List.copyOf(open.values());
        open.clear();
        lost.forEach(attempt -> over.accept(Event.AttemptOver.of(attempt, outcome)));
    }
}

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.arrow.flight.Action;
import org.apache.arrow.flight.FlightServer;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.NoOpFlightProducer;
import org.apache.arrow.flight.Result;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.LargeVarCharVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/** A store that speaks Arrow Flight: one row for each part of a call, in one batch. */
final class FlightRig implements Closeable {
  /** In which form the value of a part is answered. */
  enum Form {
    UTF8, NULL, LARGE_UTF8, NO_COLUMN
  }

  final String name;
  final List<Rig.Received> received = new CopyOnWriteArrayList<>();
  volatile Form form = Form.UTF8;
  private final BufferAllocator allocator = new RootAllocator(16 << 20);
  private final FlightServer server;

  FlightRig(String name) throws IOException {
    this.name = name;
    server = FlightServer.builder(allocator, Location.forGrpcInsecure("127.0.0.1", 0), new Producer()).build().start();
  }

  int port() {
    return server.getPort();
  }

  private Schema schema() {
    List<Field> fields = new ArrayList<>();
    for (String column : List.of("id", "end", "score", "report")) {
      fields.add(Field.nullable(column, ArrowType.Utf8.INSTANCE));
    }
    if (form != Form.NO_COLUMN) {
      fields.add(Field.nullable("value", form == Form.LARGE_UTF8 ? ArrowType.LargeUtf8.INSTANCE : ArrowType.Utf8.INSTANCE));
    }
    return new Schema(fields);
  }

  private final class Producer extends NoOpFlightProducer {
    @Override
    public void getStream(CallContext context, Ticket ticket, ServerStreamListener listener) {
      byte[] body = ticket.getBytes();
      List<Rig.Received> parts = new ArrayList<>();
      int at = 0;
      while (at < body.length) {
        int end = at;
        while (body[end] != '\n') {
          end++;
        }
        String[] fields = new String(body, at, end - at, StandardCharsets.UTF_8).split(" ");
        int length = Integer.parseInt(fields[3]);
        parts.add(new Rig.Received(name, fields[0], Integer.parseInt(fields[1]), fields[2], Arrays.copyOfRange(body, end + 1, end + 1 + length), System.nanoTime()));
        at = end + 1 + length;
      }
      received.addAll(parts);
      try (VectorSchemaRoot root = VectorSchemaRoot.create(schema(), allocator)) {
        listener.start(root);
        for (int row = 0; row < parts.size(); row++) {
          set(root, "id", row, parts.get(row).id());
          set(root, "end", row, "good");
          set(root, "score", row, "1");
          set(root, "report", row, "latency_ms=1,queue=0");
          if (form != Form.NO_COLUMN) {
            set(root, "value", row, form == Form.NULL ? null : Rig.value(parts.get(row)));
          }
        }
        root.setRowCount(parts.size());
        listener.putNext();
        listener.completed();
      }
    }

    @Override
    public void doAction(CallContext context, Action action, StreamListener<Result> listener) {
      if (action.getType().equals("probe")) {
        listener.onNext(new Result("latency_ms=1,queue=0".getBytes(StandardCharsets.UTF_8)));
      }
      listener.onCompleted();
    }
  }

  private static void set(VectorSchemaRoot root, String column, int row, String text) {
    FieldVector vector = root.getVector(column);
    if (vector instanceof LargeVarCharVector large) {
      large.setSafe(row, text.getBytes(StandardCharsets.UTF_8));
    } else if (text == null) {
      ((VarCharVector) vector).setNull(row);
    } else {
      ((VarCharVector) vector).setSafe(row, text.getBytes(StandardCharsets.UTF_8));
    }
  }

  @Override
  public void close() {
    server.shutdown();
  }
}

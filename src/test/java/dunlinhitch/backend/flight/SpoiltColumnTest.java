package dunlinhitch.backend.flight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.arrow.memory.ArrowBuf;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.LargeVarCharVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorLoader;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.VectorUnloader;
import org.apache.arrow.vector.compression.NoCompressionCodec;
import org.apache.arrow.vector.ipc.message.ArrowFieldNode;
import org.apache.arrow.vector.ipc.message.ArrowRecordBatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Record batches whose lengths do not match their data, as a client loads them from a stream. */
class SpoiltColumnTest {
  private static final List<String> COLUMNS = List.of("id", "end", "score", "report", "value");
  private static final String VALUE = "5be2a07c19f04d63";

  private final BufferAllocator allocator = new RootAllocator();

  @AfterEach
  void closeAllocator() {
    allocator.close();
  }

  /** Changes the offsets of a column before the batch is sent. */
  private interface Change {
    void apply(ArrowBuf offsets);
  }

  /** Reads a reply with two parts, of which the named column has changed offsets. */
  private List<ReplyRow> read(String column, Change change) {
    List<FieldVector> columns =
        COLUMNS.stream().<FieldVector>map(name -> new VarCharVector(name, allocator)).toList();
    List<String> cells = List.of("q.", "good", "1", "-", VALUE);
    for (int i = 0; i < cells.size(); i++) {
      for (int row = 0; row < 2; row++) {
        String cell = cells.get(i) + (i == 0 ? row + 10 : "");
        ((VarCharVector) columns.get(i)).setSafe(row, cell.getBytes(StandardCharsets.UTF_8));
      }
    }
    try (VectorSchemaRoot sent = new VectorSchemaRoot(columns)) {
      sent.setRowCount(2);
      try (ArrowRecordBatch batch = new VectorUnloader(sent).getRecordBatch();
          VectorSchemaRoot received = VectorSchemaRoot.create(sent.getSchema(), allocator)) {
        if (COLUMNS.contains(column)) {
          // a column has three buffers: validity, offsets and data
          change.apply(batch.getBuffers().get(3 * COLUMNS.indexOf(column) + 1));
        }
        try (ArrowRecordBatch exact = exactBuffers(batch)) {
          new VectorLoader(received).load(exact);
        }
        return ReplyRow.readAll(received);
      }
    }
  }

  /** Cuts each buffer to the length that the batch states for it, as a received one is. */
  private static ArrowRecordBatch exactBuffers(ArrowRecordBatch batch) {
    List<ArrowFieldNode> nodes = batch.getNodes();
    List<ArrowBuf> buffers =
        batch.getBuffers().stream().map(buffer -> buffer.slice(0, buffer.readableBytes())).toList();
    return new ArrowRecordBatch(
        batch.getLength(), nodes, buffers, NoCompressionCodec.DEFAULT_BODY_COMPRESSION, false);
  }

  private static void expectMalformed(List<ReplyRow> rows) {
    assertEquals(1, rows.size());
    assertTrue(rows.get(0).isMalformed());
  }

  private static Stream<Arguments> spoiltColumns() {
    return COLUMNS.stream()
        .flatMap(
            column -> IntStream.rangeClosed(1, 20).mapToObj(offBy -> Arguments.of(column, offBy)));
  }

  /** Guards against a cell that is read cut, because the last offset is too small. */
  @ParameterizedTest
  @MethodSource("spoiltColumns")
  void lastOffsetBelowTheDataIsMalformed(String column, int offBy) {
    expectMalformed(read(column, offsets -> offsets.setInt(8, offsets.getInt(8) - offBy)));
  }

  /** Guards against a cell that is read with bytes of another column. */
  @ParameterizedTest
  @MethodSource("spoiltColumns")
  void lastOffsetAboveTheDataIsMalformed(String column, int offBy) {
    expectMalformed(read(column, offsets -> offsets.setInt(8, offsets.getInt(8) + offBy)));
  }

  /** Guards against a cell whose start is cut. */
  @ParameterizedTest
  @MethodSource("spoiltColumns")
  void firstOffsetAboveZeroIsMalformed(String column, int offBy) {
    expectMalformed(read(column, offsets -> offsets.setInt(0, offBy)));
  }

  /** Guards against offsets that go backwards, which give a cell a negative length. */
  @Test
  void offsetsThatDecreaseAreMalformed() {
    expectMalformed(read("value", offsets -> offsets.setInt(4, 2 * VALUE.length() + 1)));
  }

  /** Guards against rows without a cell, and cells without a row. */
  @Test
  void numberOfCellsHasToBeThatOfTheRows() {
    try (VarCharVector column = new VarCharVector("value", allocator)) {
      column.setSafe(0, VALUE.getBytes(StandardCharsets.UTF_8));
      column.setValueCount(1);
      assertTrue(!TextColumn.isExact(column, 2) && !TextColumn.isExact(column, 0));
    }
  }

  /** Padding behind the data is allowed if it is zero. */
  @Test
  void paddingIsNotData() {
    try (LargeVarCharVector column = new LargeVarCharVector("value", allocator)) {
      column.setSafe(0, VALUE.getBytes(StandardCharsets.UTF_8));
      column.setValueCount(1);
      ArrowBuf data = column.getDataBuffer();
      data.setZero(VALUE.length(), data.capacity() - VALUE.length());
      assertTrue(TextColumn.isExact(column, 1));
      data.setByte(VALUE.length(), 'x');
      assertTrue(!TextColumn.isExact(column, 1));
    }
  }

  @Test
  void exactColumnsAreRead() {
    List<ReplyRow> rows = read("none", offsets -> {});
    assertEquals(List.of("q.10", "q.11"), rows.stream().map(ReplyRow::partId).toList());
    assertTrue(rows.stream().allMatch(row -> row.outcome() == AttemptOutcome.OK));
    assertTrue(rows.stream().allMatch(row -> row.value().equals(VALUE)));
  }
}

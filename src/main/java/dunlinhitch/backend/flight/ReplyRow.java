package dunlinhitch.backend.flight;

import dunlinhitch.backend.RequestText;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.text.ExactText;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.util.Text;

/**
 * One row of a store's stream: the reply to one part.
 *
 * @param outcome null if the row is malformed; the other fields are then meaningless
 * @param score NaN, which ranks last, if the row has no numeric score
 * @param report the text of the load report; empty if the row has none
 * @param value empty if the outcome is not {@code OK} and the row has no value
 */
record ReplyRow(String partId, AttemptOutcome outcome, double score, String report, String value) {
  private static final ReplyRow MALFORMED = new ReplyRow("", null, Double.NaN, "", "");

  /**
   * Parses all rows of a batch; each malformed row is included as such. If the lengths of a column
   * do not match, no cell of the batch can be trusted, and the result is one malformed row.
   */
  static List<ReplyRow> readAll(VectorSchemaRoot batch) {
    boolean exact =
        batch.getFieldVectors().stream()
            .allMatch(column -> TextColumn.isExact(column, batch.getRowCount()));
    if (!exact) {
      return List.of(MALFORMED);
    }
    return IntStream.range(0, batch.getRowCount()).mapToObj(row -> read(batch, row)).toList();
  }

  private static ReplyRow read(VectorSchemaRoot batch, int row) {
    String partId = text(batch, "id", row);
    String end = text(batch, "end", row);
    AttemptOutcome outcome = end == null ? null : RequestText.parseOutcome(end);
    if (partId == null || outcome == null) {
      return MALFORMED;
    }
    String value = text(batch, "value", row);
    if (value == null) {
      // only an answer must have a value, and no value may be made up for it
      if (outcome == AttemptOutcome.OK || !isAbsent(batch, "value", row)) {
        return MALFORMED;
      }
      value = "";
    }
    String score = text(batch, "score", row);
    String report = text(batch, "report", row);
    return new ReplyRow(
        partId,
        outcome,
        score == null ? Double.NaN : RequestText.parseScore(score),
        report == null ? "" : report,
        value);
  }

  /**
   * Returns the text of a cell, or null if the cell has none: its column is missing or has another
   * type, the cell is null, or its bytes are not valid UTF-8.
   */
  private static String text(VectorSchemaRoot batch, String column, int row) {
    if (isAbsent(batch, column, row)) {
      return null;
    }
    Object cell = batch.getVector(column).getObject(row);
    return cell instanceof Text text ? ExactText.of(text.copyBytes()) : null;
  }

  private static boolean isAbsent(VectorSchemaRoot batch, String column, int row) {
    FieldVector vector = batch.getVector(column);
    return vector == null || vector.isNull(row);
  }

  boolean isMalformed() {
    return outcome == null;
  }
}

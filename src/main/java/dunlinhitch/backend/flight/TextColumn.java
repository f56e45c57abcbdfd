package dunlinhitch.backend.flight;

import org.apache.arrow.memory.ArrowBuf;
import org.apache.arrow.vector.BaseLargeVariableWidthVector;
import org.apache.arrow.vector.BaseVariableWidthVector;
import org.apache.arrow.vector.FieldVector;

/**
 * The layout of a text column in a store's record batch. A cell is what lies between two offsets,
 * so an offset that does not match the data cuts a cell or extends it. The offsets have to cover
 * the data exactly: the first one is zero, none is smaller than the one before it, and behind the
 * last one there is only padding, which is zero. Stateless.
 */
final class TextColumn {
  private TextColumn() {}

  /**
   * Returns false if the lengths of a column do not match: its number of cells, or its offsets.
   * Columns of other types have no offsets.
   */
  static boolean isExact(FieldVector column, int rows) {
    if (column.getValueCount() != rows) {
      return false;
    }
    if (rows == 0) {
      return true;
    }
    if (column instanceof BaseVariableWidthVector text) {
      ArrowBuf offsets = text.getOffsetBuffer();
      return coverData(
          position -> offsets.getInt((long) position * BaseVariableWidthVector.OFFSET_WIDTH),
          rows,
          text.getDataBuffer());
    }
    if (column instanceof BaseLargeVariableWidthVector text) {
      ArrowBuf offsets = text.getOffsetBuffer();
      return coverData(
          position -> offsets.getLong((long) position * BaseLargeVariableWidthVector.OFFSET_WIDTH),
          rows,
          text.getDataBuffer());
    }
    return true;
  }

  /** Reads the offset at a position. */
  private interface Offsets {
    long at(int position);
  }

  private static boolean coverData(Offsets offsets, int rows, ArrowBuf data) {
    if (offsets.at(0) != 0) {
      return false;
    }
    for (int row = 0; row < rows; row++) {
      if (offsets.at(row + 1) < offsets.at(row)) {
        return false;
      }
    }
    long end = offsets.at(rows);
    return end <= data.capacity() && isPadding(data, end);
  }

  private static boolean isPadding(ArrowBuf data, long start) {
    for (long position = start; position < data.capacity(); position++) {
      if (data.getByte(position) != 0) {
        return false;
      }
    }
    return true;
  }
}

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
  private static final int NO_OFFSETS = 0;

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
    int offsetBytes = offsetBytes(column);
    return offsetBytes == NO_OFFSETS
        || coverData(column.getOffsetBuffer(), offsetBytes, rows, column.getDataBuffer());
  }

  /** Returns the size of an offset of the column, or {@link #NO_OFFSETS}. */
  private static int offsetBytes(FieldVector column) {
    if (column instanceof BaseVariableWidthVector) {
      return BaseVariableWidthVector.OFFSET_WIDTH;
    }
    return column instanceof BaseLargeVariableWidthVector
        ? BaseLargeVariableWidthVector.OFFSET_WIDTH
        : NO_OFFSETS;
  }

  private static boolean coverData(ArrowBuf offsets, int offsetBytes, int rows, ArrowBuf data) {
    long previous = offset(offsets, offsetBytes, 0);
    if (previous != 0) {
      return false;
    }
    for (int position = 1; position <= rows; position++) {
      long next = offset(offsets, offsetBytes, position);
      if (next < previous) {
        return false;
      }
      previous = next;
    }
    return previous <= data.capacity() && isPadding(data, previous);
  }

  private static long offset(ArrowBuf offsets, int offsetBytes, int position) {
    long start = (long) position * offsetBytes;
    return offsetBytes == Integer.BYTES ? offsets.getInt(start) : offsets.getLong(start);
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

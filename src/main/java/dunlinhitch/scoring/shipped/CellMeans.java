package dunlinhitch.scoring.shipped;

import java.util.HashMap;
import java.util.Map;

/** Arithmetic means by cell, since the endpoints of one cell are interchangeable. */
final class CellMeans {
  private static final class Total {
    private double sum;
    private double count;
  }

  private final Map<Integer, Total> totals = new HashMap<>();

  /** Adds one value of the cell. */
  void add(int cell, double value) {
    Total total = totals.computeIfAbsent(cell, key -> new Total());
    total.sum += value;
    total.count++;
  }

  /** The mean of a cell to which at least one value was added. */
  double mean(int cell) {
    Total total = totals.get(cell);
    return total.sum / total.count;
  }
}

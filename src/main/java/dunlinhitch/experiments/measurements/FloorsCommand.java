package dunlinhitch.experiments.measurements;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * The command that compares the served shares of the offered weight in test reports with the
 * required minimums. A report lists test runs, which are called days. Each day has a share for the
 * whole run and shares for each query class, tenant and third of the run.
 */
@Command(
    name = "floors",
    description =
        "Prints the served and the required shares of each test run, smallest margin first; exit code 1 if a share is below its minimum.",
    mixinStandardHelpOptions = true)
public final class FloorsCommand implements Callable<Integer> {
  /**
   * Required ratio of two served shares: the share that the broker serves in one third of a day,
   * divided by the share that the reference policy serves in the whole day. The reference policy
   * knows the true state of the stores with a delay.
   */
  private static final double MIN_THIRD_RATIO = 0.2;

  /** Like {@link #MIN_THIRD_RATIO}, for days of at least {@link #LONG_DAY_S} seconds. */
  private static final double LONG_DAY_MIN_THIRD_RATIO = 0.5;

  private static final double LONG_DAY_S = 600;

  @Parameters(
      arity = "1..*",
      paramLabel = "FILE",
      description = "report files written by --json, or journal files")
  private List<Path> files;

  /**
   * One served share of a day and the required share.
   *
   * @param day the names of the day and of the report
   * @param subject {@code all}, or the class, tenant or third of the day to which the share applies
   */
  record Floor(String day, String subject, double served, double required) {
    double margin() {
      return served - required;
    }
  }

  @Override
  public Integer call() throws IOException {
    return print(files, System.out) ? 0 : 1;
  }

  /**
   * Prints all shares, smallest margin first; returns true if no share is below the required one.
   */
  static boolean print(List<Path> files, PrintStream out) throws IOException {
    List<Floor> all = new ArrayList<>();
    for (Path file : files) {
      try {
        all.addAll(
            floors(file.getFileName().toString(), Json.parse(Files.readString(file)).asObject()));
      } catch (com.eclipsesource.json.ParseException
          | UnsupportedOperationException
          | NullPointerException e) {
        throw new IllegalArgumentException(
            file + " is not a report: expected a file written by --json or a journal file");
      }
    }
    all.sort(Comparator.comparingDouble(Floor::margin));
    all.forEach(
        floor ->
            out.printf(
                Locale.ROOT,
                "served %6.3f  required %5.3f  margin %6.3f  %-24s %s%n",
                floor.served(),
                floor.required(),
                floor.margin(),
                floor.subject(),
                floor.day()));
    return all.stream().allMatch(floor -> floor.margin() >= 0);
  }

  static List<Floor> floors(String file, JsonObject report) {
    List<Floor> floors = new ArrayList<>();
    for (JsonValue value : report.get("days").asArray()) {
      JsonObject day = value.asObject();
      // In a journal, each entry contains the object of its day in the field "row". In a report,
      // the entry is itself this object.
      JsonObject row = day.get("row") == null ? day : day.get("row").asObject();
      String name = row.getString("name", "?") + " of " + file;
      floors.add(
          new Floor(name, "all", row.getDouble("served", 0), row.getDouble("served_least", 0)));
      addRows("class ", row.get("by_class"), name, floors);
      addRows("tenant ", row.get("by_tenant"), name, floors);
      if (day.get("windows") != null) {
        addThirds(day.get("windows").asArray(), row.getDouble("served_late", 0), name, floors);
      }
    }
    return floors;
  }

  private static void addRows(String kind, JsonValue rows, String day, List<Floor> floors) {
    for (JsonValue value : rows == null || !rows.isArray() ? new JsonArray() : rows.asArray()) {
      JsonArray row = value.asArray();
      floors.add(
          new Floor(
              day, kind + row.get(0).asString(), row.get(1).asDouble(), row.get(2).asDouble()));
    }
  }

  /**
   * Adds an entry for each third of the day. A window counts towards the third in which it begins.
   */
  private static void addThirds(
      JsonArray windows, double servedLate, String day, List<Floor> floors) {
    double[] offered = new double[3];
    double[] served = new double[3];
    double lastS =
        windows.isEmpty() ? 0 : windows.get(windows.size() - 1).asObject().getDouble("from_s", 0);
    double required =
        (lastS >= LONG_DAY_S ? LONG_DAY_MIN_THIRD_RATIO : MIN_THIRD_RATIO) * servedLate;
    for (JsonValue value : windows) {
      JsonObject window = value.asObject();
      int third = (int) Math.min(2, 3 * window.getDouble("from_s", 0) / Math.max(1, lastS + 1));
      offered[third] += window.getDouble("worth_offered", 0);
      served[third] += window.getDouble("worth_served", 0);
    }
    for (int i = 0; i < 3; i++) {
      if (offered[i] > 0) {
        floors.add(new Floor(day, "third " + (i + 1), served[i] / offered[i], required));
      }
    }
  }
}

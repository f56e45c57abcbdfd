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
 * What was served against what is wanted, by class, tenant and third of the day, of reports that
 * the acceptance bench wrote.
 */
@Command(
    name = "floors",
    description =
        "Prints served against wanted, least room first; exit code 1 if a day is below one.",
    mixinStandardHelpOptions = true)
public final class FloorsCommand implements Callable<Integer> {
  /**
   * A third of a day is to have this part of what the policy serves that sees the true state late;
   * of a long day this one.
   */
  private static final double THIRD = 0.2;

  private static final double LONG_THIRD = 0.5;
  private static final double LONG_DAY_S = 600;

  @Parameters(
      arity = "1..*",
      paramLabel = "FILE",
      description = "reports, as --json writes them, or of the journal")
  private List<Path> files;

  /** One figure of a day that is held against a floor. */
  record Floor(String day, String what, double served, double wanted) {
    double room() {
      return served - wanted;
    }
  }

  @Override
  public Integer call() throws IOException {
    return print(files, System.out) ? 0 : 1;
  }

  /** True where all that was served is as much as is wanted. */
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
            file
                + " is no report of the bench: name a file that its --json wrote, or one of the journal");
      }
    }
    all.sort(Comparator.comparingDouble(Floor::room));
    all.forEach(
        f ->
            out.printf(
                Locale.ROOT,
                "%6.3f of %5.3f  room %6.3f  %-24s %s%n",
                f.served(),
                f.wanted(),
                f.room(),
                f.what(),
                f.day()));
    return all.stream().allMatch(f -> f.room() >= 0);
  }

  static List<Floor> floors(String file, JsonObject report) {
    List<Floor> floors = new ArrayList<>();
    for (JsonValue value : report.get("days").asArray()) {
      JsonObject day = value.asObject();
      JsonObject row =
          day.get("row") == null
              ? day
              : day.get("row").asObject(); // the journal keeps the rows alone
      String name = row.getString("name", "?") + " of " + file;
      floors.add(
          new Floor(name, "all", row.getDouble("served", 0), row.getDouble("served_least", 0)));
      named("class ", row.get("by_class"), name, floors);
      named("tenant ", row.get("by_tenant"), name, floors);
      if (day.get("windows") != null) {
        thirds(day.get("windows").asArray(), row.getDouble("served_late", 0), name, floors);
      }
    }
    return floors;
  }

  private static void named(String kind, JsonValue rows, String day, List<Floor> floors) {
    for (JsonValue value : rows == null || !rows.isArray() ? new JsonArray() : rows.asArray()) {
      JsonArray row = value.asArray();
      floors.add(
          new Floor(
              day, kind + row.get(0).asString(), row.get(1).asDouble(), row.get(2).asDouble()));
    }
  }

  /** By the windows that begin in each third. */
  private static void thirds(JsonArray windows, double late, String day, List<Floor> floors) {
    double[] offered = new double[3];
    double[] served = new double[3];
    double lastS =
        windows.isEmpty() ? 0 : windows.get(windows.size() - 1).asObject().getDouble("from_s", 0);
    double wanted = (lastS >= LONG_DAY_S ? LONG_THIRD : THIRD) * late;
    for (JsonValue value : windows) {
      JsonObject window = value.asObject();
      int third = (int) Math.min(2, 3 * window.getDouble("from_s", 0) / Math.max(1, lastS + 1));
      offered[third] += window.getDouble("worth_offered", 0);
      served[third] += window.getDouble("worth_served", 0);
    }
    for (int i = 0; i < 3; i++) {
      if (offered[i] > 0) {
        floors.add(new Floor(day, "third " + (i + 1), served[i] / offered[i], wanted));
      }
    }
  }
}

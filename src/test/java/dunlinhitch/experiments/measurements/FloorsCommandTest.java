package dunlinhitch.experiments.measurements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FloorsCommandTest {
  private static final String ROW =
      "'name':'d','served':0.9,'served_late':0.8,'served_least':0.4,'by_class':[['c',0.5,0.3]],'by_tenant':[['t',0.1,0.2]]";
  private static final String WINDOWS =
      "'windows':[{'from_s':0,'worth_offered':10,'worth_served':9},"
          + "{'from_s':5,'worth_offered':10,'worth_served':1},{'from_s':10,'worth_offered':0,'worth_served':0}]";

  private static List<FloorsCommand.Floor> floors(String days) {
    return FloorsCommand.floors(
        "f", Json.parse(("{'days':[" + days + "]}").replace('\'', '"')).asObject());
  }

  @Test
  void readsEveryFigureWithAFloor() {
    String day = "d of f";
    List<FloorsCommand.Floor> row =
        List.of(
            new FloorsCommand.Floor(day, "all", 0.9, 0.4),
            new FloorsCommand.Floor(day, "class c", 0.5, 0.3),
            new FloorsCommand.Floor(day, "tenant t", 0.1, 0.2));
    assertEquals(row, floors("{" + ROW + "}"));
    List<FloorsCommand.Floor> all = floors("{'row':{" + ROW + "}," + WINDOWS + "}");
    assertEquals(row, all.subList(0, 3));
    assertEquals(
        List.of("third 1 0.9", "third 2 0.1"),
        all.stream().skip(3).map(floor -> floor.subject() + " " + floor.served()).toList());
    assertEquals(0.16, all.get(3).required(), 1e-9);
    assertEquals(
        0.4,
        floors(
                "{'row':{"
                    + ROW
                    + "},"
                    + WINDOWS.replace(":10,'worth_offered':0", ":1200,'worth_offered':0")
                    + "}")
            .get(3)
            .required(),
        1e-9);
  }

  /**
   * A share below the required one is printed first and makes the command fail; a file that is not
   * a report is rejected with a message.
   */
  @Test
  void printsSmallestMarginFirst(@TempDir Path dir) throws Exception {
    Path file = dir.resolve("r.json");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Files.writeString(file, ("{'days':[{" + ROW + "}]}").replace('\'', '"'));
    assertFalse(
        FloorsCommand.print(List.of(file), new PrintStream(out, true, StandardCharsets.UTF_8)));
    assertTrue(
        out.toString(StandardCharsets.UTF_8).lines().findFirst().orElseThrow().contains("tenant t"),
        out.toString(StandardCharsets.UTF_8));
    Files.writeString(file, Files.readString(file).replace("0.1,0.2", "0.2,0.2"));
    assertTrue(
        FloorsCommand.print(List.of(file), new PrintStream(out, true, StandardCharsets.UTF_8)));
    for (String invalid : List.of("{", "[]", "{}", "{\"days\":[1]}")) {
      Files.writeString(file, invalid);
      assertTrue(
          assertThrows(
                  IllegalArgumentException.class,
                  () ->
                      FloorsCommand.print(
                          List.of(file), new PrintStream(out, true, StandardCharsets.UTF_8)))
              .getMessage()
              .contains("is not a report"));
    }
  }
}

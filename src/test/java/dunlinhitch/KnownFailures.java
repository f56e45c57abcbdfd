package dunlinhitch;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Skips the tests that are listed in {@code KNOWN-RED.txt} in the root folder, and prints each, so
 * that a test that exposes a fault can be committed before the fix. A line is {@code Class.method,
 * cause, issue}; at most {@value #MAX_LINES} lines are allowed, and a line cannot list a whole
 * class.
 */
public final class KnownFailures implements ExecutionCondition {
  private static final Path LIST = Path.of("KNOWN-RED.txt");
  private static final int MAX_LINES = 3;
  private static final int FIELDS = 3;

  private final Map<String, String> lines = read();

  private static Map<String, String> read() {
    Map<String, String> lines = new LinkedHashMap<>();
    if (!Files.exists(LIST)) {
      return lines;
    }
    try {
      for (String line : Files.readAllLines(LIST)) {
        String[] fields = line.split(", ", FIELDS);
        if (fields.length != FIELDS || !fields[0].matches("\\w+\\.\\w+")) {
          throw new IllegalStateException(
              LIST + ": malformed line, expected \"Class.method, cause, issue\": " + line);
        }
        lines.put(fields[0], line);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (lines.size() > MAX_LINES) {
      throw new IllegalStateException(LIST + " has more than " + MAX_LINES + " lines");
    }
    return lines;
  }

  @Override
  public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
    List<String> methods =
        context.getTestMethod().map(method -> method.getName()).stream().toList();
    for (String method : methods) {
      String line = lines.get(context.getRequiredTestClass().getSimpleName() + "." + method);
      if (line != null) {
        System.out.println("KNOWN RED, not run: " + line);
        return ConditionEvaluationResult.disabled(line);
      }
    }
    return ConditionEvaluationResult.enabled("not listed in " + LIST);
  }
}

package dunlinhitch.config.syntax;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Malformed section headers. */
class SyntaxReaderTest {
  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(strings = {"[", "[]", "[ ]", "[\t ] # nothing", "[fleet"})
  void aHeaderWithoutAKindIsAnError(String line) throws Exception {
    Path file = folder.resolve("settings");
    Files.writeString(file, line + "\n");
    SyntaxException error = assertThrows(SyntaxException.class, () -> SyntaxReader.read(file));
    assertTrue(error.getMessage().contains("[KIND]"), error.getMessage());
  }
}

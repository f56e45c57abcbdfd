package dunlinhitch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Splits response streams of discovery into objects. */
class EndpointListParserTest {
  private static final String COMPACT =
      "{\"generation\":1,\"instances\":[{\"instanceId\":\"a }\\\" é\"}]}";
  private static final String INDENTED =
      "{\n  \"generation\": 2,\n\n  \"instances\": [\n    {\n      \"zone\": \"{\"\n    }\n  ]\n}";

  /** Indentation, empty lines between objects and chunk sizes do not change the result. */
  @Test
  void lineBreaksAndChunksDoNotMatter() throws MalformedListException {
    byte[] all =
        ("\n" + COMPACT + "\n\n" + INDENTED + "\r\n \n" + COMPACT + COMPACT)
            .getBytes(StandardCharsets.UTF_8);
    for (int piece = 1; piece <= all.length; piece++) {
      EndpointListParser parser = new EndpointListParser(1000);
      List<String> objects = new ArrayList<>();
      for (int from = 0; from < all.length; from += piece) {
        objects.addAll(
            parser.read(Arrays.copyOfRange(all, from, Math.min(all.length, from + piece))));
      }
      assertEquals(List.of(COMPACT, INDENTED, COMPACT, COMPACT), objects, "chunk size " + piece);
      assertEquals(0, parser.takeStrayLines());
      assertTrue(!parser.isInObject());
    }
  }

  @Test
  void textBetweenObjectsIsSkippedAndUnterminatedObjectsAreMalformed()
      throws MalformedListException {
    EndpointListParser parser = new EndpointListParser(100);
    assertEquals(
        List.of(COMPACT),
        parser.read(("nonsense {\n]\n" + COMPACT + "\n{\"cut").getBytes(StandardCharsets.UTF_8)));
    assertEquals(2, parser.takeStrayLines());
    assertTrue(parser.isInObject());
    assertThrows(
        MalformedListException.class, () -> parser.read("\n".getBytes(StandardCharsets.UTF_8)));
    assertThrows(
        MalformedListException.class,
        () ->
            new EndpointListParser(100)
                .read(("{" + " ".repeat(100)).getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Objects that precede malformed text in the same chunk are returned. Objects that follow the
   * malformed text are not returned.
   */
  @Test
  void objectsBeforeMalformedTextAreReturned() throws MalformedListException {
    for (String malformed :
        List.of("{\"a\":[}\n", "{\"a\":" + "[".repeat(40), "x\n".repeat(40), "{\"cut\n")) {
      EndpointListParser parser = new EndpointListParser(1000);
      assertEquals(
          List.of(COMPACT),
          parser.read((COMPACT + "\n" + malformed + COMPACT).getBytes(StandardCharsets.UTF_8)),
          malformed);
      assertThrows(MalformedListException.class, parser::check);
      assertThrows(
          MalformedListException.class,
          () -> parser.read(COMPACT.getBytes(StandardCharsets.UTF_8)));
    }
  }
}

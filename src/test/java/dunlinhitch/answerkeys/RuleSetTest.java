package dunlinhitch.answerkeys;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.answerkeys.KeysException.Code;
import dunlinhitch.answerkeys.Rewrite.DropTerms;
import dunlinhitch.answerkeys.Rewrite.DropVariant;
import dunlinhitch.answerkeys.Rewrite.FoldCase;
import dunlinhitch.answerkeys.Rewrite.FoldSpaces;
import dunlinhitch.answerkeys.Rewrite.FoldVariant;
import dunlinhitch.answerkeys.Rewrite.SortTerms;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RuleSetTest {
  static final ClassKeys SEARCH =
      new ClassKeys(
          "search", List.of("client", "language"), true, 1_000_000, 100_000, 1_200_000, "f:1");
  private static final ClassKeys BOOKING =
      new ClassKeys("booking", List.of(), false, 1_000_000, 0, 1_500_000, "f:2");

  static Rule rule(String name, Rewrite... rewrites) {
    return new Rule(name, "search", 1, List.of(rewrites), "f:7");
  }

  private static RuleSet set(Rule... rules) {
    return new RuleSet(List.of(SEARCH, BOOKING), List.of(rules));
  }

  private static AnswerKey key(RuleSet rules, String text, Map<String, String> variants) {
    return rules.key(
        new Ask("search", "t1", 3, text, variants, "phone", false), rule -> true, Set.of(), "", 0);
  }

  /**
   * Whatever the text, the rewrites and their order: the fixed point is reached within the stated
   * passes, and is one.
   */
  @Property(tries = 1000)
  void eachTextHasOneFixedPoint(@ForAll long seed) {
    Random random = new Random(seed);
    char mark = ",; ".charAt(random.nextInt(3));
    List<Rewrite> rewrites =
        new ArrayList<>(
            List.of(
                new SortTerms(mark),
                new DropTerms(mark, Set.of("ab", "ς")),
                new FoldSpaces(),
                new DropTerms(mark, Set.of("b")),
                new FoldCase()));
    Collections.shuffle(rewrites, random);
    List<Rewrite> some = rewrites.subList(0, 1 + random.nextInt(rewrites.size()));
    String letters = "aAbBΣσςİıⅣ,;  \t\u00a0";
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(25); i > 0; i--) {
      text.append(letters.charAt(random.nextInt(letters.length())));
    }
    RuleSet rules = set(rule("all", rewrites.toArray(Rewrite[]::new)));
    String end = rules.text("search", text.toString(), some);
    assertEquals(end, rules.text("search", end, some));
  }

  @Test
  void whatDiffersByClientKindOnlyHasOneKey() {
    RuleSet rules =
        set(
            rule(
                "forms",
                new FoldVariant(
                    "client", Map.of("ios", "phone", "phone", "small", "hall", "small"), "large"),
                new FoldCase(),
                new FoldSpaces(),
                new DropTerms(',', Set.of("app")),
                new SortTerms(',')));
    AnswerKey key = key(rules, "day=3,hall=x", Map.of("client", "ios"));
    assertEquals("small", key.variants().get("client"));
    assertEquals(key, key(rules, "HALL=X , app ,Day=3", Map.of("client", "hall")));
    assertNotEquals(key, key(rules, "hall=x,day=4", Map.of("client", "hall")));
    assertNotEquals(key, key(rules, "hall=x,day=3", Map.of("client", "hall", "language", "ar")));
    assertEquals("large", key(rules, "", Map.of()).variants().get("client"));
  }

  /** Code, place and remedy stand in the one line that an operator reads. */
  @Test
  void whatCanNotBeUsedIsNamed() {
    wrong(Code.NAME_TWICE, () -> set(rule("a", new FoldCase()), rule("a", new FoldCase())));
    wrong(Code.NO_CLASS, () -> set(new Rule("a", "serach", 1, List.of(new FoldCase()), "f:7")));
    wrong(
        Code.MAY_NOT_REUSE, () -> set(new Rule("a", "booking", 1, List.of(new FoldCase()), "f:7")));
    wrong(Code.NO_ATTRIBUTE, () -> set(rule("a", new DropVariant("clint"))));
    wrong(
        Code.ATTRIBUTE_TWICE,
        () ->
            set(
                rule("a", new DropVariant("client")),
                rule("b", new FoldVariant("client", Map.of(), "x"))));
    wrong(
        Code.CYCLE,
        () -> set(rule("a", new FoldVariant("client", Map.of("x", "y", "y", "z", "z", "x"), ""))));
    wrong(Code.SEPARATOR, () -> set(rule("a", new SortTerms('x'))));
    wrong(
        Code.SEPARATOR,
        () -> set(rule("a", new SortTerms('\u24b6')))); // no letter, and has a lower case
    wrong(Code.SEPARATOR, () -> set(rule("a", new SortTerms(',')), rule("b", new SortTerms(';'))));
    wrong(Code.NEVER_ACTS, () -> set(rule("a", new FoldCase(), new DropTerms(',', Set.of("App")))));
    wrong(Code.NEVER_ACTS, () -> set(rule("a")));
    wrong(
        Code.SETTING,
        () -> new ClassKeys("search", List.of(), true, 1, 1_200_000, 1_200_000, "f:7"));
  }

  private static void wrong(Code code, Runnable made) {
    KeysException e = assertThrows(KeysException.class, made::run);
    assertEquals(code, e.code());
    assertTrue(
        e.getMessage().startsWith(code.word() + " f:7: ") && e.getMessage().endsWith(e.remedy()),
        e.getMessage());
    assertFalse(e.remedy().isBlank());
  }
}

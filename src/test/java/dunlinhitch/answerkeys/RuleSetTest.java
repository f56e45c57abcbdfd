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
  static final ClassCachePolicy SEARCH =
      new ClassCachePolicy(
          "search", List.of("client", "language"), true, 1_000_000, 100_000, 1_200_000, "f:1");
  private static final ClassCachePolicy BOOKING =
      new ClassCachePolicy("booking", List.of(), false, 1_000_000, 0, 1_500_000, "f:2");

  static Rule rule(String name, Rewrite... rewrites) {
    return new Rule(name, "search", 1, List.of(rewrites), "f:7");
  }

  private static RuleSet ruleSet(Rule... rules) {
    return new RuleSet(List.of(SEARCH, BOOKING), List.of(rules));
  }

  private static AnswerKey key(RuleSet rules, String text, Map<String, String> variants) {
    return rules.key(
        new PartQuery("search", "t1", 3, text, variants, "phone", false),
        rule -> true,
        Set.of(),
        "",
        0);
  }

  /**
   * For any text and any rewrites in any order, the canonical form is reached within the documented
   * number of passes and is a fixed point.
   */
  @Property(tries = 1000)
  void eachTextHasOneCanonicalForm(@ForAll long seed) {
    Random random = new Random(seed);
    char separator = ",; ".charAt(random.nextInt(3));
    List<Rewrite> rewrites =
        new ArrayList<>(
            List.of(
                new SortTerms(separator),
                new DropTerms(separator, Set.of("ab", "ς")),
                new FoldSpaces(),
                new DropTerms(separator, Set.of("b")),
                new FoldCase()));
    Collections.shuffle(rewrites, random);
    List<Rewrite> applied = rewrites.subList(0, 1 + random.nextInt(rewrites.size()));
    String alphabet = "aAbBΣσςİıⅣ,;  \t\u00a0";
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(25); i > 0; i--) {
      text.append(alphabet.charAt(random.nextInt(alphabet.length())));
    }
    RuleSet rules = ruleSet(rule("all", rewrites.toArray(Rewrite[]::new)));
    String canonical = rules.canonicalText("search", text.toString(), applied);
    assertEquals(canonical, rules.canonicalText("search", canonical, applied));
  }

  @Test
  void textsThatDifferByClientKindOnlyShareAKey() {
    RuleSet rules =
        ruleSet(
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

  /** The one-line message for operators contains code, location and remedy. */
  @Test
  void unusableRulesAreRejectedWithCodeAndRemedy() {
    assertRejected(
        Code.NAME_TWICE, () -> ruleSet(rule("a", new FoldCase()), rule("a", new FoldCase())));
    assertRejected(
        Code.NO_CLASS, () -> ruleSet(new Rule("a", "serach", 1, List.of(new FoldCase()), "f:7")));
    assertRejected(
        Code.MAY_NOT_REUSE,
        () -> ruleSet(new Rule("a", "booking", 1, List.of(new FoldCase()), "f:7")));
    assertRejected(Code.NO_ATTRIBUTE, () -> ruleSet(rule("a", new DropVariant("clint"))));
    assertRejected(
        Code.ATTRIBUTE_TWICE,
        () ->
            ruleSet(
                rule("a", new DropVariant("client")),
                rule("b", new FoldVariant("client", Map.of(), "x"))));
    assertRejected(
        Code.CYCLE,
        () ->
            ruleSet(
                rule("a", new FoldVariant("client", Map.of("x", "y", "y", "z", "z", "x"), ""))));
    assertRejected(Code.SEPARATOR, () -> ruleSet(rule("a", new SortTerms('x'))));
    // U+24B6 is not a letter, but has a lower-case form.
    assertRejected(Code.SEPARATOR, () -> ruleSet(rule("a", new SortTerms('\u24b6'))));
    assertRejected(
        Code.SEPARATOR,
        () -> ruleSet(rule("a", new SortTerms(',')), rule("b", new SortTerms(';'))));
    assertRejected(
        Code.NEVER_ACTS,
        () -> ruleSet(rule("a", new FoldCase(), new DropTerms(',', Set.of("App")))));
    assertRejected(Code.NEVER_ACTS, () -> ruleSet(rule("a")));
    assertRejected(
        Code.SETTING,
        () -> new ClassCachePolicy("search", List.of(), true, 1, 1_200_000, 1_200_000, "f:7"));
  }

  private static void assertRejected(Code code, Runnable construction) {
    KeysException exception = assertThrows(KeysException.class, construction::run);
    assertEquals(code, exception.code());
    assertTrue(
        exception.getMessage().startsWith(code.label() + " f:7: ")
            && exception.getMessage().endsWith(exception.remedy()),
        exception.getMessage());
    assertFalse(exception.remedy().isBlank());
  }
}

package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Compares answers of queries that asked a store anyway. A rule that is tried is compared alone on
 * top of the trusted ones, so an unequal pair is its own fault; trusted ones are compared together,
 * and the fault is with those without which the two keys would differ.
 */
final class Pairs {
  /** Of one key: as many texts that clients wrote differently. */
  private static final int MOST_TEXTS = 4;

  private static final int AROUND = 600;

  /** An answer that came: to whom, and what can be compared of it. */
  private record Trace(
      Ask by, long digest, long generation, String store, long startedMs, long askedUs) {
    static Trace of(Held held) {
      Answer answer = held.answer();
      return new Trace(
          held.by(),
          answer.digest(),
          answer.generation(),
          answer.store(),
          answer.startedMs(),
          held.askedUs());
    }

    boolean oneStore(Trace other) {
      return store.equals(other.store) && startedMs == other.startedMs;
    }

    /** Of the same data for certain. */
    boolean oneGeneration(Trace other) {
      return generation > 0 && generation == other.generation;
    }

    /** Of the same data unless that changed between them. */
    boolean perhapsOne(Trace other, long nearUs) {
      return generation == 0
          && other.generation == 0
          && oneStore(other)
          && Math.abs(askedUs - other.askedUs) <= nearUs;
    }
  }

  /** {@code rule} is null where the key is of the trusted rules. */
  private record Place(String rule, AnswerKey key) {}

  /**
   * Two unequal answers of one store that tells no generation: the first text asked again decides.
   */
  private record Doubt(Trace first, Trace second) {}

  private final RuleSet rules;
  private final RuleLives lives;
  private final Keying keying;
  private final KeySettings settings;
  private final Shelf<Place, List<Trace>> traces;
  private final Map<String, Doubt> doubts = new HashMap<>();
  private long compared;
  private long unequal;

  Pairs(RuleSet rules, RuleLives lives, Keying keying, KeySettings settings) {
    this.rules = rules;
    this.lives = lives;
    this.keying = keying;
    this.settings = settings;
    traces = new SimpleShelf<>(settings.mostBytes());
  }

  long compared() {
    return compared;
  }

  long unequal() {
    return unequal;
  }

  /** An answer came, whole, from a store. */
  void came(long nowUs, Held held) {
    Ask ask = held.by();
    List<Rule> ofClass = rules.of(ask.queryClass());
    if (ofClass.isEmpty()) {
      return;
    }
    Trace trace = Trace.of(held);
    settleDoubts(nowUs, trace);
    AnswerKey plain = keying.key(ask);
    for (Rule rule : ofClass) {
      RuleState state = lives.state(rule);
      if (state == RuleState.PROPOSED || state == RuleState.TRIED) {
        AnswerKey with = keying.key(ask, other -> keying.trusted(other) || other.equals(rule));
        if (state == RuleState.PROPOSED) {
          if (!with.equals(plain)) {
            lives.seen(nowUs, rule);
          }
        } else {
          compare(nowUs, new Place(rule.name(), with), trace, List.of(rule));
        }
      }
    }
    List<Rule> trusted = ofClass.stream().filter(keying::trusted).toList();
    if (!trusted.isEmpty()) {
      compare(nowUs, new Place(null, keying.key(ask)), trace, trusted);
    }
  }

  private void compare(long nowUs, Place place, Trace now, List<Rule> tested) {
    long oldest = nowUs - 2 * rules.classKeys(now.by().queryClass()).mostAgeUs();
    List<Trace> kept = new ArrayList<>();
    List<Trace> before = traces.get(place);
    for (Trace other : before == null ? List.<Trace>of() : before) {
      if (other.askedUs() < oldest || other.by().sameAs(now.by())) {
        continue;
      }
      kept.add(other);
      List<Rule> needed = needed(now.by(), other.by(), tested);
      if (needed.isEmpty()) {
        continue; // they differ by nothing that is tested here
      }
      if (now.digest() == other.digest()) {
        compared++;
        Set<String> kinds = new TreeSet<>(Set.of(now.by().kind()));
        kinds.add(other.by().kind());
        needed.forEach(rule -> lives.equal(nowUs, rule, now.by().shard(), kinds));
      } else if (now.oneGeneration(other)) {
        compared++;
        unequal++;
        String why =
            "shard "
                + now.by().shard()
                + " generation "
                + now.generation()
                + " answered "
                + other.by().kind()
                + " and "
                + now.by().kind()
                + " unlike";
        needed.forEach(rule -> lives.withdraw(nowUs, rule, why));
      } else if (now.perhapsOne(other, settings.nearUs())) {
        compared++;
        unequal++;
        needed.forEach(
            rule -> {
              doubts.putIfAbsent(rule.name(), new Doubt(other, now));
              lives.suspect(nowUs, rule);
            });
      }
    }
    while (kept.size() >= MOST_TEXTS) {
      kept.remove(0);
    }
    kept.add(now);
    traces.put(
        place,
        kept,
        kept.stream().mapToLong(trace -> AROUND + 2L * trace.by().text().length()).sum());
  }

  /**
   * Those without which the two would not share a key; all of them that act, where two of them do
   * the same.
   */
  private List<Rule> needed(Ask one, Ask other, List<Rule> tested) {
    if (tested.size() == 1) {
      return without(one, other, tested.get(0)) ? tested : List.of();
    }
    List<Rule> needed = tested.stream().filter(rule -> without(one, other, rule)).toList();
    return needed.isEmpty()
        ? tested.stream().filter(rule -> acts(one, rule) || acts(other, rule)).toList()
        : needed;
  }

  private boolean without(Ask one, Ask other, Rule rule) {
    Predicate<Rule> rest = r -> keying.trusted(r) && !r.equals(rule);
    return !keying.key(one, rest).equals(keying.key(other, rest));
  }

  private boolean acts(Ask ask, Rule rule) {
    return !keying.key(ask, r -> r.equals(rule)).equals(keying.key(ask, r -> false));
  }

  /**
   * The first text was asked again, of the same store: as before, so the data did not change; like
   * the second, so it did.
   */
  private void settleDoubts(long nowUs, Trace now) {
    for (Rule rule : rules.of(now.by().queryClass())) {
      Doubt doubt = doubts.get(rule.name());
      if (doubt != null && lives.state(rule) == RuleState.WITHDRAWN) {
        doubts.remove(rule.name());
      } else if (doubt != null
          && now.by().sameAs(doubt.first().by())
          && now.oneStore(doubt.first())
          && now.askedUs() > doubt.second().askedUs()) {
        if (now.digest() == doubt.first().digest()) {
          lives.withdraw(
              nowUs,
              rule,
              "shard "
                  + now.by().shard()
                  + " of store "
                  + now.store()
                  + " answered "
                  + doubt.first().by().kind()
                  + " twice alike and "
                  + doubt.second().by().kind()
                  + " between them unlike");
          doubts.remove(rule.name());
        } else if (now.digest() == doubt.second().digest()) {
          lives.cleared(nowUs, rule);
          doubts.remove(rule.name());
        }
      }
    }
  }
}

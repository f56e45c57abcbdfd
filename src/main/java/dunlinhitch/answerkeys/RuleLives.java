package dunlinhitch.answerkeys;

import dunlinhitch.answerkeys.Rule.Life;
import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.cluster.ReplicatedMap;
import dunlinhitch.cluster.ReplicatedMapSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Where each rule stands, by what all brokers have seen of it. The evidence is held as {@link
 * Facts}, so that it is the same in whatever order the words come. A withdrawal that was once heard
 * is kept beside them, beyond their life and bounds, and said anew under this broker's own name: no
 * trust of that epoch comes back, though the one that saw the pair be gone. Pure; the caller says
 * what time it is.
 */
public final class RuleLives {
  private static final long SKEW_US = 2_000_000;
  private static final int MOST_FACTS = 8192;
  private static final int MOST_OF_AUTHOR = 256;

  /** What only adds up is not said more often; a withdrawal or a suspicion is said at once. */
  private static final long SAY_EVERY_US = 1_000_000;

  /** A rule as operators see it. */
  public record Shown(
      Life life,
      RuleState state,
      long seen,
      long equal,
      int shards,
      int kinds,
      int brokers,
      String why) {}

  private final RuleSet rules;
  private final KeySettings settings;
  private final String self;
  private final ReplicatedMap<Life, Evidence> facts;
  private final Map<Life, Evidence> own = new TreeMap<>();
  private final Map<Life, Long> saidUs = new HashMap<>();
  private final Set<Life> unsaid = new HashSet<>();
  private final Map<Life, Long> suspectUntilUs = new HashMap<>();
  private final Map<Life, String> withdrawn = new TreeMap<>();
  private final Map<String, RuleState> states = new HashMap<>();
  private long changes;
  private boolean turnedBad;
  private long settledAt;
  private int settledOf;

  public RuleLives(RuleSet rules, KeySettings settings, String self) {
    this.rules = rules;
    this.settings = settings;
    this.self = self;
    facts =
        new ReplicatedMap<>(
            new ReplicatedMapSettings(settings.lifeUs(), SKEW_US, MOST_FACTS, MOST_OF_AUTHOR),
            Comparator.naturalOrder());
    if (rules.rules().size() > MOST_OF_AUTHOR) {
      throw new KeysException(
          KeysException.Code.SETTING,
          "[keys]",
          rules.rules().size() + " rules",
          "keep to " + MOST_OF_AUTHOR);
    }
    if (Math.max(settings.shards(), settings.kinds()) > Evidence.MOST_SPREAD) {
      throw new KeysException(
          KeysException.Code.SETTING,
          "[keys]",
          "a spread over " + settings.shards() + " shards and " + settings.kinds() + " kinds",
          "ask for " + Evidence.MOST_SPREAD + " at most");
    }
    rules
        .rules()
        .forEach(
            rule -> {
              own.put(rule.life(), Evidence.NONE);
              states.put(rule.name(), RuleState.PROPOSED);
            });
  }

  /** What brokers say of rules; what is new since a version is to be passed on. */
  public ReplicatedMap<Life, Evidence> facts() {
    return facts;
  }

  public RuleState state(Rule rule) {
    return states.get(rule.name());
  }

  /** Raised whenever a rule comes to stand elsewhere. */
  public long changes() {
    return changes;
  }

  /** True once after a rule came to rest here, by whoever's word. */
  boolean turnedBad() {
    boolean turned = turnedBad;
    turnedBad = false;
    return turned;
  }

  /** The rule would have changed, or has changed, the key of an ask. */
  void seen(long nowUs, Rule rule) {
    if (state(rule) == RuleState.PROPOSED) {
      change(nowUs, rule, own.get(rule.life()).andSeen(settings.proposals()), false);
    }
  }

  /** Two answers that the rule makes one were equal. */
  void equal(long nowUs, Rule rule, int shard, Set<String> kinds) {
    change(nowUs, rule, own.get(rule.life()).andEqual(settings.pairs(), shard, kinds), false);
  }

  /**
   * They were not, and the data may have changed between them: until that is found out the rule is
   * at rest.
   */
  void suspect(long nowUs, Rule rule) {
    if (suspectUntilUs.putIfAbsent(rule.life(), nowUs + settings.suspectUs()) == null) {
      change(nowUs, rule, own.get(rule.life()).suspecting(true), true);
    }
  }

  /** It was the data. */
  void cleared(long nowUs, Rule rule) {
    if (suspectUntilUs.remove(rule.life()) != null) {
      change(nowUs, rule, own.get(rule.life()).suspecting(false), true);
    }
  }

  void withdraw(long nowUs, Rule rule, String why) {
    suspectUntilUs.remove(rule.life());
    change(nowUs, rule, own.get(rule.life()).withdrawnFor(why), true);
  }

  /** Another broker's word, or what this one had said before it was started anew. */
  public ReplicatedMap.MergeResult heard(long nowUs, ReplicatedEntry<Life, Evidence> told) {
    ReplicatedMap.MergeResult took = facts.merge(nowUs, told);
    if (took == ReplicatedMap.MergeResult.NEWS
        && told.origin().equals(self)
        && own.containsKey(told.key())) {
      own.put(
          told.key(),
          own.get(told.key())
              .and(told.value().suspecting(false))); // what it suspected it has forgotten
      unsaid.add(told.key());
    }
    if (!told.value().withdrawn().isEmpty()) {
      keep(
          told.key(),
          told.value()
              .withdrawn()); // though it be too old, or crowded out: a withdrawal does not age
    }
    passed(nowUs);
    return took;
  }

  /** Time has passed: suspicions lapse, and what was said is said again before it is too old. */
  public void passed(long nowUs) {
    for (Rule rule : rules.rules()) {
      Life life = rule.life();
      Long until = suspectUntilUs.get(life);
      if (until != null && nowUs >= until) {
        suspectUntilUs.remove(life);
        own.put(life, own.get(life).withdrawnFor("a suspicion that nothing cleared"));
        unsaid.add(life);
      }
      boolean changed = unsaid.contains(life);
      long since = nowUs - saidUs.getOrDefault(life, Long.MIN_VALUE / 2);
      boolean urgent = !own.get(life).withdrawn().isEmpty() || own.get(life).suspect();
      if ((changed && (urgent || since >= SAY_EVERY_US))
          || (!own.get(life).equals(Evidence.NONE) && since >= settings.lifeUs() / 2)) {
        say(nowUs, life);
      }
    }
    facts.expire(nowUs);
    settle();
  }

  /** When {@link #passed} has something to do at the latest. */
  public long nextUs(long nowUs) {
    long next = nowUs + settings.lifeUs() / 4;
    for (long until : suspectUntilUs.values()) {
      next = Math.min(next, until);
    }
    for (Life life : unsaid) {
      next = Math.min(next, saidUs.getOrDefault(life, nowUs - SAY_EVERY_US) + SAY_EVERY_US);
    }
    return next;
  }

  private void change(long nowUs, Rule rule, Evidence now, boolean atOnce) {
    Life life = rule.life();
    if (!now.equals(own.put(life, now))) {
      unsaid.add(life);
      if (atOnce || nowUs - saidUs.getOrDefault(life, Long.MIN_VALUE / 2) >= SAY_EVERY_US) {
        say(nowUs, life);
        settle();
      }
    }
  }

  private void say(long nowUs, Life life) {
    ReplicatedEntry<Life, Evidence> before = facts.of(life, self);
    long at = before == null ? nowUs : Math.max(nowUs, before.timestampUs() + 1);
    facts.merge(nowUs, new ReplicatedEntry<>(life, self, at, own.get(life)));
    saidUs.put(life, nowUs);
    unsaid.remove(life);
    if (!own.get(life).withdrawn().isEmpty()) {
      keep(life, own.get(life).withdrawn());
    }
  }

  private void keep(Life life, String why) {
    Evidence mine = own.get(life);
    if (mine != null) {
      withdrawn.putIfAbsent(life, why);
      if (mine.withdrawn().isEmpty()) {
        own.put(life, mine.withdrawnFor(why));
        unsaid.add(life);
      }
    }
  }

  private void settle() {
    if (facts.version() == settledAt && facts.size() == settledOf) {
      return; // nothing came, nothing went
    }
    settledAt = facts.version();
    settledOf = facts.size();
    Map<Life, List<ReplicatedEntry<Life, Evidence>>> told = new HashMap<>();
    facts
        .all()
        .forEach(fact -> told.computeIfAbsent(fact.key(), life -> new ArrayList<>()).add(fact));
    for (Rule rule : rules.rules()) {
      RuleState now = stateOf(rule.life(), told.getOrDefault(rule.life(), List.of()));
      if (states.put(rule.name(), now) != now) {
        changes++;
        turnedBad |= now == RuleState.SUSPECT || now == RuleState.WITHDRAWN;
      }
    }
  }

  private RuleState stateOf(Life life, List<ReplicatedEntry<Life, Evidence>> told) {
    Shown sum = sum(life, told);
    boolean suspect =
        suspectUntilUs.containsKey(life) || told.stream().anyMatch(fact -> fact.value().suspect());
    if (withdrawn.containsKey(life)) {
      return RuleState.WITHDRAWN;
    } else if (suspect) {
      return RuleState.SUSPECT;
    } else if (sum.seen() < settings.proposals()) {
      return RuleState.PROPOSED;
    }
    return sum.equal() >= settings.pairs()
            && sum.shards() >= settings.shards()
            && sum.kinds() >= settings.kinds()
            && sum.brokers() >= settings.brokers()
        ? RuleState.TRUSTED
        : RuleState.TRIED;
  }

  /**
   * What one broker saw counts for half of what is wanted at the most, where more than one is
   * wanted.
   */
  private Shown sum(Life life, List<ReplicatedEntry<Life, Evidence>> told) {
    long most = settings.brokers() == 1 ? settings.pairs() : (settings.pairs() + 1L) / 2;
    long seen = 0;
    long equal = 0;
    int brokers = 0;
    Set<Integer> shards = new HashSet<>();
    Set<String> kinds = new HashSet<>();
    for (ReplicatedEntry<Life, Evidence> fact : told) {
      seen += fact.value().seen();
      equal += Math.min(most, fact.value().equal());
      brokers += fact.value().equal() > 0 ? 1 : 0;
      shards.addAll(fact.value().shards());
      kinds.addAll(fact.value().kinds());
    }
    return new Shown(
        life,
        states.get(life.rule()),
        seen,
        equal,
        shards.size(),
        kinds.size(),
        brokers,
        withdrawn.getOrDefault(life, ""));
  }

  /** For operators, in the order of the rules. */
  public List<Shown> shown() {
    return rules.rules().stream().map(rule -> sum(rule.life(), facts.of(rule.life()))).toList();
  }
}

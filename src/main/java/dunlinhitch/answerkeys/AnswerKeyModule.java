package dunlinhitch.answerkeys;

import dunlinhitch.answerkeys.Act.Said;
import dunlinhitch.answerkeys.Rule.Life;
import dunlinhitch.cluster.RendezvousHash;
import dunlinhitch.cluster.ReplicatedEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Which parts share an answer: one flight a key in this broker, answers reused for a short while,
 * one home a key in the fleet. Events in, acts out; no I/O, clock or threads. All moments are µs of
 * the day clock that brokers have in common but for their offsets. docs/answer-keys.md has the
 * rules and the bounds.
 *
 * <p>The home of a key fetches nothing for others: it lets the first that asks fetch, and has the
 * others wait for that one, each until its own moment. So a query's attempts stay with the broker
 * that took it.
 */
public final class AnswerKeyModule {
  /** What a key takes beside its text, roughly. */
  private static final long KEY_BYTES = 300;

  /** What is counted, for operators. */
  public enum Count {
    /** Went to a store alone: its class or key is not shared, or there is no room. */
    NOT_SHARED,
    /** Went alone to try a rule. */
    TRIALS,
    /** Had the lead. */
    LED,
    /** Were given a kept answer, one that was waited for here, and one of another broker. */
    REUSED,
    JOINED,
    FROM_HOME,
    /** A home did not answer in time. */
    HOME_LATE,
    /** Answers that could not be shared after all. */
    NOT_SHAREABLE,
    /** Waited and ended without. */
    ENDED,
    /** Leads that passed on. */
    PASSED_ON
  }

  /**
   * Who waits: a query here ({@code peer} null, {@code number} the query), or another broker
   * ({@code number} its flight).
   */
  private static final class Waiter {
    private final String peer;
    private final long number;
    private final Ask ask;
    private final long untilUs;
    private int used;

    /** Chance has said that it needs no trial. */
    private boolean drawn;

    Waiter(String peer, long number, Ask ask, long untilUs) {
      this.peer = peer;
      this.number = number;
      this.ask = ask;
      this.untilUs = untilUs;
    }
  }

  private static final class Flight {
    private final long number;
    private final AnswerKey key;
    private final List<Waiter> waiters = new ArrayList<>();

    /** One of the waiters, or null while the home is asked. */
    private Waiter lead;

    /** Null: this broker is the home, or there is none. */
    private String home;

    private long homeUntilUs;

    /** What the home calls the key; its generation there may be another. */
    private AnswerKey homeKey;

    /** Another broker has the lead until then. */
    private long leaseUntilUs;

    /** Since when, and for whom, a store is asked. */
    private long begunUs;

    private Ask by;
    private boolean over;

    Flight(long number, AnswerKey key) {
      this.number = number;
      this.key = key;
    }
  }

  /** A moment at which a flight is to be looked at. */
  private record Due(long atUs, Flight flight) {}

  private final RuleSet rules;
  private final KeySettings settings;
  private final String self;
  private final RandomGenerator random;
  private final RuleLives lives;
  private final Keying keying;
  private final Pairs pairs;
  private final Shelf<AnswerKey, Held> shelf;

  /**
   * Keys whose answers could not be shared of late, with the moment until which nobody waits for
   * one.
   */
  private final Shelf<AnswerKey, Long> passes;

  private final Map<String, Long> stores = new HashMap<>();
  private final Map<AnswerKey, Flight> byKey = new HashMap<>();
  private final Map<Long, Flight> byNumber = new HashMap<>();
  private final Map<Long, Flight> byQuery = new HashMap<>();
  private final PriorityQueue<Due> dues =
      new PriorityQueue<>((a, b) -> Long.compare(a.atUs(), b.atUs()));
  private final Map<Count, Long> counts = new EnumMap<>(Count.class);
  private Set<String> members = Set.of();
  private long lastNumber;
  private long rulesAt;

  /** A store's word has changed what keys are like. */
  private boolean reconsider;

  private List<Act> acts = new ArrayList<>();

  public AnswerKeyModule(
      RuleSet rules,
      KeySettings settings,
      String self,
      RandomGenerator random,
      Shelf<AnswerKey, Held> shelf) {
    this.rules = rules;
    this.settings = settings;
    this.self = self;
    this.random = random;
    this.shelf = shelf;
    lives = new RuleLives(rules, settings, self);
    keying = new Keying(rules, lives);
    pairs = new Pairs(rules, lives, keying, settings);
    passes = new SimpleShelf<>(settings.mostBytes() / 16);
  }

  // ---- what is known

  /** The view of the fleet that has settled; empty where there is none. */
  public List<Act> settled(long nowUs, Collection<String> names) {
    members = new TreeSet<>(names);
    for (Flight f : List.copyOf(byNumber.values())) {
      if (f.lead == null && !members.contains(f.home)) {
        f.home = null;
        passOn(nowUs, f, false);
      } else if (f.lead != null && f.lead.peer != null && !members.contains(f.lead.peer)) {
        remove(f, f.lead);
        passOn(nowUs, f, false);
      }
    }
    return done(nowUs);
  }

  /**
   * The list has that store, which began then: answers that it gave before it began are not reused.
   */
  public void listed(String store, long startedMs) {
    stores.put(store, startedMs);
  }

  /** The list has it no more, or wants nothing new sent to it. */
  public void withdrawn(String store) {
    stores.remove(store);
  }

  /** Another broker's word of a rule. */
  public List<Act> heard(long nowUs, ReplicatedEntry<Life, Evidence> fact) {
    lives.heard(nowUs, fact);
    return done(nowUs);
  }

  public RuleLives lives() {
    return lives;
  }

  // ---- queries of this broker

  /** A part of a query is to be asked; its answer is wanted by its absolute deadline. */
  public List<Act> asked(long nowUs, long query, Ask ask, long deadlineUs) {
    if (byQuery.containsKey(query)) {
      throw new IllegalArgumentException("query " + query + " waits already");
    }
    if (!keying.mayShare(ask) || nowUs >= deadlineUs) {
      return alone(nowUs, query, Count.NOT_SHARED);
    }
    AnswerKey key = keying.key(ask);
    Long passUntil = passes.get(key);
    if (passUntil != null && nowUs < passUntil) {
      return alone(nowUs, query, Count.NOT_SHARED);
    }
    Held held = held(nowUs, key);
    if (held != null) {
      if (tries(ask, held.by())) {
        return alone(nowUs, query, Count.TRIALS);
      }
      count(Count.REUSED);
      acts.add(new Act.Give(query, held));
      return done(nowUs);
    }
    Waiter waiter = new Waiter(null, query, ask, deadlineUs);
    Flight f = byKey.get(key);
    if (f == null
        ? byNumber.size() >= settings.mostFlights()
        : f.waiters.size() >= settings.mostWaiters()) {
      return alone(nowUs, query, Count.NOT_SHARED);
    }
    if (f != null && f.lead != null) {
      waiter.drawn = true;
      if (tries(ask, f.by)) {
        return alone(nowUs, query, Count.TRIALS);
      }
    }
    boolean first = f == null;
    f = first ? open(key) : f;
    join(f, waiter);
    byQuery.put(query, f);
    if (first) {
      begin(nowUs, f, waiter);
    }
    return done(nowUs);
  }

  private void begin(long nowUs, Flight f, Waiter first) {
    long wait = rules.classKeys(f.key.queryClass()).homeWaitUs();
    String home = RendezvousHash.first(members, f.key.words());
    if (home == null || home.equals(self) || !members.contains(self) || wait == 0) {
      passOn(nowUs, f, false);
      return;
    }
    f.home = home;
    f.homeKey = f.key;
    f.homeUntilUs = Math.min(nowUs + wait, first.untilUs);
    dues.add(new Due(f.homeUntilUs, f));
    acts.add(new Act.AskHome(home, f.number, f.key, first.ask, f.homeUntilUs));
  }

  /** The lead's answer came. The lead has it already; the others get theirs by the acts. */
  public List<Act> came(long nowUs, long flight, Answer answer) {
    Flight f = byNumber.get(flight);
    if (f == null || f.lead == null || f.lead.peer != null) {
      return done(nowUs); // nobody waits for it any more
    }
    Held held = new Held(answer, f.by, f.begunUs);
    remove(f, f.lead);
    boolean kept = take(nowUs, held, f.key);
    share(f, kept ? held : null, Count.JOINED);
    if (f.home != null) {
      acts.add(
          new Act.TellHome(
              f.home,
              f.homeKey,
              held.toTell())); // also what is not shared: then nobody waits for the next one
    }
    return done(nowUs);
  }

  /** The lead's query came to nothing, after so many attempts: another has the lead. */
  public List<Act> failed(long nowUs, long flight, int attempts) {
    Flight f = byNumber.get(flight);
    if (f == null || f.lead == null || f.lead.peer != null) {
      return done(nowUs);
    }
    remove(f, f.lead);
    for (Waiter waiter : List.copyOf(f.waiters)) {
      waiter.used += attempts;
      if (waiter.peer == null && waiter.used >= settings.mostAttempts()) {
        remove(f, waiter);
        count(Count.ENDED);
        acts.add(new Act.End(waiter.number, Act.Why.OUT_OF_ATTEMPTS));
      }
    }
    passOn(nowUs, f, false);
    return done(nowUs);
  }

  /** The client of that query has gone, or the broker has given it up. */
  public List<Act> left(long nowUs, long query) {
    Flight f = byQuery.get(query);
    if (f != null) {
      Waiter waiter =
          f.waiters.stream()
              .filter(w -> w.peer == null && w.number == query)
              .findFirst()
              .orElseThrow();
      boolean led = f.lead == waiter;
      remove(f, waiter);
      if (led || f.waiters.isEmpty()) {
        passOn(nowUs, f, led);
      }
    }
    return done(nowUs);
  }

  /** A query that went alone has its answer, for which its store was asked then. */
  public List<Act> alone(long nowUs, Ask ask, Answer answer, long askedUs) {
    if (keying.mayShare(ask)) {
      take(nowUs, new Held(answer, ask, askedUs), null);
    }
    return done(nowUs);
  }

  // ---- between brokers

  /** Another broker asks this one, which it takes for the key's home. */
  public List<Act> peerAsked(
      long nowUs, String peer, long flight, AnswerKey key, Ask ask, long untilUs) {
    if (!keying.mayShare(ask) || !keying.key(ask).in(0).equals(key.in(0))) {
      acts.add(
          new Act.TellPeer(
              peer,
              flight,
              key,
              Said.NOTHING,
              null)); // it goes by other rules: until these settle each asks for itself
      return done(nowUs);
    }
    keying.told(key.shard(), key.generation());
    AnswerKey now = keying.key(ask);
    Held held = held(nowUs, now);
    if (held != null) {
      acts.add(new Act.TellPeer(peer, flight, now, Said.ANSWER, held));
      return done(nowUs);
    }
    Flight f = byKey.get(now);
    boolean full =
        f == null
            ? byNumber.size() >= settings.mostFlights()
            : f.waiters.size() >= settings.mostWaiters();
    if (full
        || (f != null
            && f.lead == null)) { // without a lead it waits for a home of its own: the views differ
      acts.add(new Act.TellPeer(peer, flight, now, Said.NOTHING, null));
      return done(nowUs);
    }
    if (f != null
        && f.waiters.stream()
            .anyMatch(waiter -> peer.equals(waiter.peer) && waiter.number == flight)) {
      return done(nowUs); // the word came twice
    }
    boolean first = f == null;
    f = first ? open(now) : f;
    join(
        f,
        new Waiter(
            peer,
            flight,
            ask,
            Math.min(untilUs, nowUs + rules.classKeys(key.queryClass()).homeWaitUs())));
    if (first) {
      passOn(nowUs, f, false);
    }
    return done(nowUs);
  }

  /** The home's word on what this broker had asked it; {@code key} is what the home calls it. */
  public List<Act> homeSaid(
      long nowUs, String home, long flight, AnswerKey key, Said said, Held held) {
    Flight f = byNumber.get(flight);
    boolean asks = f != null && home.equals(f.home);
    boolean waits = asks && f.lead == null;
    if (said == Said.ANSWER && held != null && keying.mayShare(held.by())) {
      Held now = notAhead(nowUs, held);
      if (take(nowUs, now, waits ? f.key : null) && waits) {
        share(f, now, Count.FROM_HOME);
        return done(nowUs);
      }
    }
    if (asks) {
      f.homeKey = key;
    }
    if (waits) {
      f.home = said == Said.FETCH ? home : null;
      passOn(nowUs, f, false);
    } else if (said == Said.FETCH && !asks) {
      acts.add(
          new Act.TellHome(home, key, null)); // nobody waits here any more: whoever is next may
    }
    return done(nowUs);
  }

  /**
   * A broker that this one, as the key's home, had let fetch, or that would not wait for it, says
   * what came of it.
   */
  public List<Act> peerTold(long nowUs, String peer, AnswerKey key, Held held) {
    Held now = held == null ? null : notAhead(nowUs, held);
    boolean kept = now != null && keying.mayShare(now.by()) && take(nowUs, now, key);
    Flight f = byKey.get(key);
    if (f != null && f.lead != null && peer.equals(f.lead.peer)) {
      remove(f, f.lead);
      if (held == null) {
        passOn(nowUs, f, false);
      } else {
        share(f, kept ? now : null, Count.FROM_HOME);
      }
    }
    return done(nowUs);
  }

  /** A clock that is ahead would make an answer younger than it is. */
  private static Held notAhead(long nowUs, Held held) {
    return held.askedUs() <= nowUs ? held : new Held(held.answer(), held.by(), nowUs);
  }

  // ---- time

  /** Time has passed: whoever waited until now waits no longer. */
  public List<Act> passed(long nowUs) {
    lives.passed(nowUs);
    while (!dues.isEmpty() && dues.peek().atUs() <= nowUs) {
      Flight f = dues.poll().flight();
      if (!f.over) {
        look(nowUs, f);
      }
    }
    return done(nowUs);
  }

  /** When {@link #passed} is to be called at the latest. */
  public long nextUs(long nowUs) {
    while (!dues.isEmpty() && dues.peek().flight().over) {
      dues.poll();
    }
    return Math.min(lives.nextUs(nowUs), dues.isEmpty() ? Long.MAX_VALUE : dues.peek().atUs());
  }

  private void look(long nowUs, Flight f) {
    boolean ledBefore = f.lead != null;
    for (Waiter waiter : List.copyOf(f.waiters)) {
      boolean leased = waiter == f.lead && waiter.peer != null;
      if (nowUs >= (leased ? f.leaseUntilUs : waiter.untilUs)) {
        remove(f, waiter);
        if (waiter.peer == null) {
          count(Count.ENDED);
          acts.add(new Act.End(waiter.number, Act.Why.LATE));
        }
      }
    }
    if ((ledBefore && f.lead == null) || f.waiters.isEmpty()) {
      passOn(nowUs, f, false);
    } else if (f.lead == null && nowUs >= f.homeUntilUs) {
      count(Count.HOME_LATE);
      passOn(nowUs, f, false); // it is told what comes of it all the same
    }
  }

  // ---- flights

  private Flight open(AnswerKey key) {
    Flight f = new Flight(++lastNumber, key);
    byKey.put(key, f);
    byNumber.put(f.number, f);
    return f;
  }

  private void join(Flight f, Waiter waiter) {
    f.waiters.add(waiter);
    dues.add(new Due(waiter.untilUs, f));
  }

  private void remove(Flight f, Waiter waiter) {
    f.waiters.remove(waiter);
    if (waiter.peer == null) {
      byQuery.remove(waiter.number);
    }
    if (f.lead == waiter) {
      f.lead = null;
    }
  }

  private void close(Flight f) {
    f.over = true;
    byKey.remove(f.key);
    byNumber.remove(f.number);
  }

  /**
   * Nobody has the lead: who has waited longest gets it. {@code out}: the attempt of the one before
   * goes on, for one that wrote the same text; to another it would be an answer by rules, and a
   * rule may be withdrawn before it comes.
   */
  private void passOn(long nowUs, Flight f, boolean out) {
    Waiter heir =
        !out
            ? null
            : f.waiters.stream()
                .filter(w -> w.peer == null && w.ask.sameAs(f.by))
                .findFirst()
                .orElse(null);
    if (out && heir == null) {
      acts.add(new Act.GiveUp(f.number));
    }
    if (f.waiters.isEmpty()) {
      close(f);
      if (f.home != null && f.by != null) {
        acts.add(new Act.TellHome(f.home, f.homeKey, null));
      }
      return;
    }
    f.lead = heir != null ? heir : f.waiters.get(0);
    count(f.by != null ? Count.PASSED_ON : Count.LED);
    if (heir == null) {
      f.begunUs = nowUs;
      f.by = f.lead.ask;
    }
    if (f.lead.peer == null) {
      acts.add(new Act.Fetch(f.number, f.lead.number, f.lead.used, heir != null));
    } else {
      f.leaseUntilUs = nowUs + rules.classKeys(f.key.queryClass()).homeWaitUs();
      dues.add(new Due(f.leaseUntilUs, f));
      acts.add(new Act.TellPeer(f.lead.peer, f.lead.number, f.key, Said.FETCH, null));
    }
  }

  /**
   * The flight is over: all that wait get the answer, or go to a store alone where they may not
   * have it.
   */
  private void share(Flight f, Held held, Count how) {
    close(f);
    for (Waiter waiter : List.copyOf(f.waiters)) {
      remove(f, waiter);
      if (waiter.peer != null) {
        acts.add(
            new Act.TellPeer(
                waiter.peer,
                waiter.number,
                f.key,
                held == null ? Said.NOTHING : Said.ANSWER,
                held));
      } else if (held == null || !mayHave(waiter.ask, held)) {
        count(Count.NOT_SHARED);
        acts.add(new Act.Alone(waiter.number));
      } else if (!waiter.drawn && tries(waiter.ask, held.by())) {
        count(Count.TRIALS);
        acts.add(new Act.Alone(waiter.number));
      } else {
        count(how);
        acts.add(new Act.Give(waiter.number, held));
      }
    }
  }

  // ---- answers

  /**
   * Learns from an answer that a store gave, here or at another broker; true where it may be
   * shared, and then it is kept.
   */
  private boolean take(long nowUs, Held held, AnswerKey key) {
    Answer answer = held.answer();
    Ask ask = held.by();
    if (!answer.whole()) {
      return false; // nothing can be learnt from it
    }
    keying.told(ask.shard(), answer.generation());
    if (!answer.keepable() || !keying.canTell(ask.queryClass(), answer.varies())) {
      count(Count.NOT_SHAREABLE);
      AnswerKey passed = key == null ? keying.key(ask) : key;
      passes.put(
          passed,
          nowUs + rules.classKeys(ask.queryClass()).mostAgeUs(),
          KEY_BYTES + 2L * ask.text().length());
      return false;
    }
    if (keying.varies(ask.queryClass(), answer.varies())) {
      reconsider = true;
    }
    pairs.came(nowUs, held);
    AnswerKey now = keying.key(ask);
    boolean fresh = isFresh(nowUs, now, held);
    if (fresh) {
      shelf.put(now, held, held.bytes());
    }
    return fresh && (key == null || key.rules().equals(now.rules()) || !answer.varies().isEmpty());
  }

  private Held held(long nowUs, AnswerKey key) {
    Held held = shelf.get(key);
    if (held != null && !isFresh(nowUs, key, held)) {
      shelf.remove(key);
      return null;
    }
    return held;
  }

  private boolean isFresh(long nowUs, AnswerKey key, Held held) {
    Answer answer = held.answer();
    return nowUs < held.askedUs() + rules.classKeys(key.queryClass()).mostAgeUs()
        && (answer.generation() == 0 || answer.generation() >= key.generation())
        && stores.getOrDefault(answer.store(), -1L) == answer.startedMs();
  }

  /**
   * The key that it waited under may have been made by rules, or before words of a store, that hold
   * no more.
   */
  private boolean mayHave(Ask ask, Held held) {
    return keying.key(ask).equals(keying.key(held.by()))
        && Keying.sameIn(ask, held.by(), held.answer().varies());
  }

  /** True where only rules make the two one, and chance wants that tried. */
  private boolean tries(Ask ask, Ask other) {
    return !ask.sameAs(other) && random.nextDouble() < settings.share();
  }

  private List<Act> alone(long nowUs, long query, Count why) {
    count(why);
    acts.add(new Act.Alone(query));
    return done(nowUs);
  }

  private void count(Count what) {
    counts.merge(what, 1L, Long::sum);
  }

  /** What was counted since the start. */
  public Map<Count, Long> counts() {
    return new EnumMap<>(counts);
  }

  /** Pairs of answers that were compared, and those that were not equal. */
  public List<Long> comparisons() {
    return List.of(pairs.compared(), pairs.unequal());
  }

  /** Whoever waits by rules that hold no more waits no longer, but for the one that fetches. */
  private List<Act> done(long nowUs) {
    if (reconsider || rulesAt != lives.changes()) {
      reconsider = false;
      rulesAt = lives.changes();
      if (lives.turnedBad()) {
        acts.add(new Act.Spread());
      }
      for (Flight f : List.copyOf(byNumber.values())) {
        if (!f.key.rules().equals(keying.stamp(f.key.queryClass()))) {
          for (Waiter waiter : List.copyOf(f.waiters)) {
            release(f, waiter);
          }
          if (f.waiters.isEmpty()) {
            passOn(nowUs, f, false);
          }
        }
      }
    }
    List<Act> now = acts;
    acts = new ArrayList<>();
    return now;
  }

  private void release(Flight f, Waiter waiter) {
    if (waiter == f.lead) {
      return;
    }
    remove(f, waiter);
    if (waiter.peer == null) {
      count(Count.NOT_SHARED);
      acts.add(new Act.Alone(waiter.number));
    } else {
      acts.add(new Act.TellPeer(waiter.peer, waiter.number, f.key, Said.NOTHING, null));
    }
  }
}

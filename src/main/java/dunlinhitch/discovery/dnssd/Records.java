package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.TimingWheel;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/**
 * What one server has said of one service (RFC 6763): record sets with their lifetimes, what is to
 * be asked when, and the claims that follow. No I/O and no clock: answers go in, questions and
 * claims come out. One thread at a time; times are microseconds.
 *
 * <p>An empty answer or NXDOMAIN counts only with the AA bit; any other failure leaves a set as it
 * was. A set is asked for again at 80 to 90 % of its TTL, one question at a time, and after a
 * failure with growing pauses.
 */
public final class Records {
  static final long LEAST_TTL_US = 1_000_000;
  static final long MOST_TTL_US = 86_400_000_000L;
  private static final long NEGATIVE_TTL_US = 5_000_000;
  private static final long FIRST_PAUSE_US = 200_000;
  private static final long LONGEST_PAUSE_US = 30_000_000;
  private static final double REFRESH_FROM = 0.8;
  private static final double REFRESH_SPREAD = 0.1;
  private static final int MOST_ALIASES = 8;
  private static final int MOST_IN_SET = 16;

  /** Bounds: instances of the service, and questions that may be out at once. */
  public record Bounds(int instances, int asking) {
    public static final Bounds STANDARD = new Bounds(4096, 32);
  }

  /** Things worth counting that an answer brought. */
  public enum Oddity {
    BAD_ENTRY,
    TOO_MANY,
    NO_ALIAS,
    NOT_AUTHORITATIVE
  }

  private static final class Set0 {
    private final Question key;
    private List<Record> records = List.of();

    /** It has been answered once. */
    private boolean known;

    private boolean asking;
    private int failures;
    private long ttlUs;
    private long expiresUs;
    private boolean followed;
    private TimingWheel.Handle<Set0> timer;

    /** Instances whose claims hang on it; none: it is no longer wanted. */
    private final Set<Instance> users = new LinkedHashSet<>();

    Set0(Question key) {
      this.key = key;
    }
  }

  private static final class Instance {
    private final Name name;

    /** Which of the browsed names list it. */
    private final Set<Name> listedBy = new HashSet<>();

    private Set0 srv;
    private Set0 txt;
    private final Map<Name, Set0> v4 = new LinkedHashMap<>();
    private final Map<Name, Set0> v6 = new LinkedHashMap<>();

    /** Under which keys it was claimed last, and as what. */
    private Map<String, EndpointClaim> claimed = new LinkedHashMap<>();

    /** It was withdrawn by name, not merely missing from an answer of no authority. */
    private boolean ended;

    private String trouble = "";

    Instance(Name name) {
      this.name = name;
    }
  }

  /** One instance as the records have it, for those who look. */
  public record Shown(String instance, List<Endpoint> entries, long untilUs, String trouble) {}

  private final List<Name> browsed;
  private final TxtReader reader;
  private final RandomGenerator random;
  private final Bounds bounds;
  private final TimingWheel<Set0> wheel;
  private final Map<Question, Set0> sets = new HashMap<>();
  private final Map<Name, Instance> instances = new LinkedHashMap<>();
  private final Set<Instance> dirty = new LinkedHashSet<>();
  private final Set<Set0> toAsk = new LinkedHashSet<>();

  /** Keys claimed before the start that have not been seen since, by instance. */
  private final Map<String, Set<String>> restored = new HashMap<>();

  private final Map<Oddity, Integer> oddities = new HashMap<>();
  private int asking;
  private long version;
  private boolean toldWhole;
  private long now;

  /** {@code browsed}: the service, or its subtypes. */
  Records(List<Name> browsed, TxtReader reader, Bounds bounds, RandomGenerator random, long nowUs) {
    this.browsed = List.copyOf(browsed);
    this.reader = reader;
    this.bounds = bounds;
    this.random = random;
    now = nowUs;
    wheel = new TimingWheel<>(nowUs);
    browsed.forEach(name -> askNow(set(new Question(name, Type.PTR))));
  }

  /**
   * What was claimed before this process began: an instance that turns out to be missing is then
   * taken back.
   */
  void restored(Collection<String> keys) {
    keys.forEach(
        key ->
            restored
                .computeIfAbsent(
                    key.substring(0, Math.max(0, key.indexOf('|'))), k -> new HashSet<>())
                .add(key));
  }

  // ---- questions

  /** What is to be asked now; each is owed one {@link #answered} or {@link #failed}. */
  List<Question> due(long nowUs) {
    pass(nowUs);
    List<Question> questions = new ArrayList<>();
    for (Set0 set : List.copyOf(toAsk)) {
      if (asking >= bounds.asking()) {
        break;
      }
      toAsk.remove(set);
      if (!set.asking && sets.get(set.key) == set) {
        set.asking = true;
        asking++;
        questions.add(set.key);
      }
    }
    return questions;
  }

  /** When {@link #due} is wanted next; it is also wanted after each answer. */
  long nextUs() {
    return toAsk.isEmpty() || asking >= bounds.asking() ? wheel.nextUs() : now;
  }

  /**
   * The list, or all, is to be asked for again: the zone has changed, or somebody wants to be sure.
   */
  void reask(long nowUs, boolean all) {
    pass(nowUs);
    browsed.forEach(name -> askNow(sets.get(new Question(name, Type.PTR))));
    sets.values().stream().filter(set -> all && !set.followed).forEach(this::askNow);
  }

  private void pass(long nowUs) {
    now = Math.max(now, nowUs);
    wheel.advance(now, set -> askNow(set));
  }

  private void askNow(Set0 set) {
    if (set != null && !set.asking) {
      wheel.drop(set.timer);
      toAsk.add(set);
    }
  }

  private void askAt(Set0 set, long dueUs) {
    wheel.drop(set.timer);
    set.timer = wheel.set(dueUs, set);
  }

  private Set0 set(Question key) {
    return sets.computeIfAbsent(
        key,
        k -> {
          version++;
          return new Set0(k);
        });
  }

  // ---- answers

  /** No usable answer came. */
  void failed(long nowUs, Question question) {
    pass(nowUs);
    Set0 set = ended(question);
    if (set != null) {
      pauseAndAsk(set);
    }
  }

  private void pauseAndAsk(Set0 set) {
    long pause = Math.min(LONGEST_PAUSE_US, FIRST_PAUSE_US << Math.min(16, set.failures++));
    askAt(set, now + (long) (pause * (0.75 + random.nextDouble() / 2)));
  }

  private Set0 ended(Question question) {
    Set0 set = sets.get(question);
    if (set == null || !set.asking) {
      return null;
    }
    set.asking = false;
    asking--;
    return set;
  }

  /**
   * An answer came that belongs to the question: right server, id, name and type, and it is whole.
   */
  void answered(long nowUs, Question question, Message message) {
    pass(nowUs);
    Set0 set = ended(question);
    if (set == null) {
      return;
    }
    boolean authority = message.getHeader().getFlag(Flags.AA);
    int rcode = message.getRcode();
    Map<Question, List<Record>> found = found(message);
    List<Record> own = follow(question, found);
    boolean nothing =
        rcode == Rcode.NXDOMAIN || (rcode == Rcode.NOERROR && own != null && own.isEmpty());
    if ((rcode != Rcode.NOERROR && rcode != Rcode.NXDOMAIN)
        || own == null
        || (nothing && !authority)) {
      odd(
          own == null ? Oddity.NO_ALIAS : Oddity.NOT_AUTHORITATIVE,
          own == null || (nothing && !authority) ? 1 : 0);
      pauseAndAsk(set);
      return;
    }
    set.failures = 0;
    take(set, nothing ? List.of() : own, nothing ? negativeTtlUs(message) : ttlUs(own), authority);
    if (authority) { // what came beside it spares questions
      for (Map.Entry<Question, List<Record>> more : found.entrySet()) {
        Set0 other = sets.get(more.getKey());
        if (other != null && other != set && !other.asking) {
          other.failures = 0;
          take(other, more.getValue(), ttlUs(more.getValue()), true);
        }
      }
    }
  }

  private void odd(Oddity what, int times) {
    if (times > 0) {
      oddities.merge(what, times, Integer::sum);
    }
  }

  /** Since the last call. */
  Map<Oddity, Integer> oddities() {
    Map<Oddity, Integer> seen = new HashMap<>(oddities);
    oddities.clear();
    return seen;
  }

  private static Map<Question, List<Record>> found(Message message) {
    Map<Question, List<Record>> found = new LinkedHashMap<>();
    for (int section : new int[] {Section.ANSWER, Section.ADDITIONAL}) {
      for (Record record : message.getSection(section)) {
        if (record.getDClass() == DClass.IN
            && record.getType() != Type.OPT
            && record.getType() != Type.TSIG) {
          List<Record> all =
              found.computeIfAbsent(
                  new Question(record.getName(), record.getType()), k -> new ArrayList<>());
          if (!all.contains(record)) {
            all.add(record);
          }
        }
      }
    }
    return found;
  }

  /**
   * The records of the question's type, through aliases; empty: there are none; null: the aliases
   * lead nowhere.
   */
  private static List<Record> follow(Question question, Map<Question, List<Record>> found) {
    Name name = question.name();
    for (int i = 0; i <= MOST_ALIASES; i++) {
      List<Record> own = found.get(new Question(name, question.type()));
      if (own != null) {
        return own;
      }
      List<Record> alias = found.get(new Question(name, Type.CNAME));
      if (alias == null) {
        return i == 0 ? List.of() : null;
      }
      name = ((CNAMERecord) alias.get(0)).getTarget();
    }
    return null;
  }

  private static long ttlUs(List<Record> records) {
    long least = records.stream().mapToLong(Record::getTTL).min().orElse(0);
    return Math.max(LEAST_TTL_US, Math.min(MOST_TTL_US, least * 1_000_000));
  }

  /** RFC 2308 section 5. */
  private static long negativeTtlUs(Message message) {
    return message.getSection(Section.AUTHORITY).stream()
        .filter(r -> r instanceof SOARecord)
        .mapToLong(r -> Math.min(r.getTTL(), ((SOARecord) r).getMinimum()) * 1_000_000)
        .map(us -> Math.max(LEAST_TTL_US, Math.min(60_000_000, us)))
        .findFirst()
        .orElse(NEGATIVE_TTL_US);
  }

  private void take(Set0 set, List<Record> records, long ttlUs, boolean authority) {
    set.known = true;
    set.ttlUs = ttlUs;
    set.expiresUs = set.followed ? TimingWheel.NEVER : now + ttlUs;
    toAsk.remove(set);
    wheel.drop(set.timer);
    if (!set.followed) {
      askAt(set, now + (long) (ttlUs * (REFRESH_FROM + REFRESH_SPREAD * random.nextDouble())));
    }
    set.records = records;
    changed(set, authority);
  }

  private void changed(Set0 set, boolean authority) {
    if (set.key.type() == Type.PTR) {
      list(set, authority);
    } else {
      dirty.addAll(set.users);
    }
  }

  // ---- instances

  private void list(Set0 set, boolean authority) {
    Set<Name> now0 = new HashSet<>();
    for (Record record : set.records) {
      Name name = ((PTRRecord) record).getTarget();
      if (listOne(set, name)) {
        now0.add(name);
      }
    }
    for (Instance instance : List.copyOf(instances.values())) {
      if (instance.listedBy.contains(set.key.name()) && !now0.contains(instance.name)) {
        instance.listedBy.remove(set.key.name());
        if (instance.listedBy.isEmpty()) {
          unlist(instance, authority);
        }
      }
    }
  }

  /** False where there are as many as may be. */
  private boolean listOne(Set0 set, Name name) {
    if (!instances.containsKey(name) && instances.size() >= bounds.instances()) {
      odd(Oddity.TOO_MANY, 1);
      return false;
    }
    Instance instance = instances.computeIfAbsent(name, Instance::new);
    instance.listedBy.add(set.key.name());
    instance.ended = false;
    if (instance.srv == null) {
      instance.srv = use(instance, new Question(name, Type.SRV));
      instance.txt = use(instance, new Question(name, Type.TXT));
      dirty.add(instance);
    }
    return true;
  }

  /** Nobody lists it any more. Without authority it is no longer asked for, and runs out. */
  private void unlist(Instance instance, boolean authority) {
    unuse(instance, instance.srv);
    unuse(instance, instance.txt);
    instance.v4.values().forEach(set -> unuse(instance, set));
    instance.v6.values().forEach(set -> unuse(instance, set));
    instance.v4.clear();
    instance.v6.clear();
    instance.srv = null;
    instance.txt = null;
    instance.ended = authority;
    instances.remove(instance.name);
    if (authority) {
      dirty.add(instance);
    } else {
      dirty.remove(instance);
    }
  }

  private Set0 use(Instance instance, Question key) {
    Set0 set = set(key);
    set.users.add(instance);
    if (!set.known) {
      askNow(set);
    }
    return set;
  }

  private void unuse(Instance instance, Set0 set) {
    if (set != null) {
      set.users.remove(instance);
      if (set.users.isEmpty() && set.key.type() != Type.PTR) {
        wheel.drop(set.timer);
        toAsk.remove(set);
        asking -= set.asking ? 1 : 0;
        sets.remove(set.key);
        version++;
      }
    }
  }

  // ---- claims

  /**
   * True once everything that is listed has been answered: then the claims so far are all that
   * there are.
   */
  private boolean complete() {
    return sets.values().stream().allMatch(set -> set.known);
  }

  /**
   * What has changed since the last call, and whether it is, for the first time, the whole of it.
   *
   * @param whole once: {@code claims} are all that there are
   */
  record News(boolean whole, List<EndpointClaim> claims) {}

  News news(long nowUs) {
    pass(nowUs);
    List<EndpointClaim> claims = new ArrayList<>();
    for (Instance instance : List.copyOf(dirty)) {
      claim(instance, claims);
    }
    dirty.clear();
    if (!restored.isEmpty()
        && browsed.stream().allMatch(name -> sets.get(new Question(name, Type.PTR)).known)) {
      Set<String> listed = new HashSet<>();
      instances.keySet().forEach(name -> listed.add(Names.key(name)));
      restored.forEach(
          (instance, keys) ->
              keys.stream()
                  .filter(key -> !listed.contains(instance))
                  .forEach(key -> claims.add(EndpointClaim.back(key, now))));
      restored.keySet().retainAll(listed);
    }
    if (!toldWhole && complete()) {
      toldWhole = true;
      restored.clear();
      return new News(
          true, instances.values().stream().flatMap(i -> i.claimed.values().stream()).toList());
    }
    return new News(false, claims);
  }

  private void claim(Instance instance, List<EndpointClaim> out) {
    Map<String, EndpointClaim> is = instance.ended ? Map.of() : claims(instance);
    if (is == null) {
      return; // not all is known yet: what was claimed stands
    }
    String prefix = Names.key(instance.name);
    Set<String> was = new LinkedHashSet<>(instance.claimed.keySet());
    Set<String> before = restored.remove(prefix);
    if (before != null) {
      was.addAll(before);
    }
    was.stream()
        .filter(key -> !is.containsKey(key))
        .forEach(key -> out.add(EndpointClaim.back(key, now)));
    is.forEach(
        (key, claim) -> {
          if (!claim.equals(instance.claimed.get(key))) {
            out.add(claim);
          }
        });
    instance.claimed = is;
  }

  /**
   * One claim for each way in which the records can be read; more than one is a contradiction.
   * Null: not yet.
   */
  private Map<String, EndpointClaim> claims(Instance instance) {
    instance.trouble = "";
    if (instance.srv == null || !instance.srv.known || !instance.txt.known) {
      return null;
    }
    List<SRVRecord> targets = targets(instance.srv.records);
    Set<Name> hosts = new LinkedHashSet<>();
    targets.forEach(srv -> hosts.add(srv.getTarget()));
    wants(instance, instance.v4, hosts, Type.A);
    Set<Name> without = new LinkedHashSet<>();
    instance.v4.forEach(
        (host, set) -> {
          if (set.known && set.records.isEmpty()) {
            without.add(host);
          }
        });
    wants(instance, instance.v6, without, Type.AAAA);
    List<TXTRecord> texts =
        instance.txt.records.stream()
            .map(r -> (TXTRecord) r)
            .sorted(Comparator.comparing(TXTRecord::rdataToString))
            .limit(MOST_IN_SET)
            .toList();
    Map<String, EndpointClaim> is = new LinkedHashMap<>();
    long until = Math.min(instance.srv.expiresUs, instance.txt.expiresUs);
    for (SRVRecord srv : targets) {
      Set0 addresses = instance.v4.get(srv.getTarget());
      if (addresses.known && addresses.records.isEmpty()) {
        addresses = instance.v6.get(srv.getTarget());
      }
      if (!addresses.known) {
        return null;
      }
      if (addresses.records.isEmpty()) {
        instance.trouble = srv.getTarget() + " has no address";
        odd(Oddity.BAD_ENTRY, 1);
        continue;
      }
      String host = address(addresses.records);
      for (int i = 0; i < texts.size(); i++) {
        String key =
            Names.key(instance.name)
                + "|"
                + Names.key(srv.getTarget())
                + ":"
                + srv.getPort()
                + "|"
                + i;
        try {
          Endpoint entry = reader.entry(texts.get(i), host, srv.getPort());
          EndpointClaim old = instance.claimed.get(key);
          boolean same =
              old != null
                  && old.entry().equals(entry)
                  && old.untilUs() == Math.min(until, addresses.expiresUs);
          is.put(
              key,
              same
                  ? old
                  : new EndpointClaim(key, entry, now, Math.min(until, addresses.expiresUs)));
        } catch (IllegalArgumentException e) {
          instance.trouble = String.valueOf(e.getMessage());
          odd(Oddity.BAD_ENTRY, 1);
        }
      }
    }
    if (is.isEmpty() && instance.trouble.isEmpty()) {
      instance.trouble =
          instance.srv.records.isEmpty() ? "it has no SRV record" : "it has no TXT record";
    }
    return is;
  }

  /**
   * Of the lowest priority only (RFC 2782); a target of "." says that there is no such service
   * here.
   */
  private static List<SRVRecord> targets(List<Record> records) {
    List<SRVRecord> all =
        records.stream()
            .map(r -> (SRVRecord) r)
            .filter(r -> !r.getTarget().equals(Name.root))
            .toList();
    int lowest = all.stream().mapToInt(SRVRecord::getPriority).min().orElse(0);
    return all.stream()
        .filter(r -> r.getPriority() == lowest)
        .sorted(
            Comparator.comparing((SRVRecord r) -> Names.key(r.getTarget()))
                .thenComparing(SRVRecord::getPort))
        .limit(MOST_IN_SET)
        .toList();
  }

  private void wants(Instance instance, Map<Name, Set0> held, Set<Name> hosts, int type) {
    for (Name host : List.copyOf(held.keySet())) {
      if (!hosts.contains(host)) {
        unuse(instance, held.remove(host));
      }
    }
    for (Name host : hosts) {
      held.computeIfAbsent(host, h -> use(instance, new Question(h, type)));
    }
  }

  /**
   * A host of several addresses is reached at the lowest, so that all brokers name one store alike.
   */
  private static String address(List<Record> records) {
    return records.stream()
        .map(r -> r instanceof ARecord a ? a.getAddress() : ((AAAARecord) r).getAddress())
        .map(InetAddress::getHostAddress)
        .min(Comparator.naturalOrder())
        .orElseThrow();
  }

  // ---- push (RFC 8765)

  /** Changes with {@link #wanted}. */
  long version() {
    return version;
  }

  /** The names and types that a push session should follow. */
  Set<Question> wanted() {
    return sets.keySet();
  }

  /** A server tells of every change of a set from now on, or no longer. */
  void followed(long nowUs, Question key, boolean follows) {
    pass(nowUs);
    Set0 set = sets.get(key);
    if (set == null || set.followed == follows) {
      return;
    }
    set.followed = follows;
    if (!set.known) {
      return; // what is not there is not told: it is asked for once all the same
    }
    if (follows) {
      wheel.drop(set.timer);
      toAsk.remove(set);
      set.expiresUs = TimingWheel.NEVER;
    } else {
      set.expiresUs = now + set.ttlUs;
      askAt(set, now + (long) (set.ttlUs * REFRESH_FROM * random.nextDouble()));
    }
    dirty.addAll(set.users);
  }

  /** A record was added, or came anew. */
  void added(long nowUs, Record record) {
    pass(nowUs);
    Set0 set = sets.get(new Question(record.getName(), record.getType()));
    if (set != null && set.known && record instanceof PTRRecord ptr) {
      listOne(set, ptr.getTarget()); // the rest of the list is not looked at
    } else if (set != null) {
      List<Record> records = new ArrayList<>(set.records);
      records.remove(record);
      records.add(record);
      take(set, records, ttlUs(records), true);
    }
  }

  /**
   * Records were removed: those that equal {@code record}, or all of a set ({@code record} null).
   */
  void removed(long nowUs, Question key, Record record) {
    pass(nowUs);
    Set0 set = sets.get(key);
    if (set != null && set.known && record instanceof PTRRecord ptr) {
      Instance instance = instances.get(ptr.getTarget());
      if (instance != null && instance.listedBy.remove(key.name()) && instance.listedBy.isEmpty()) {
        unlist(instance, true);
      }
    } else if (set != null && set.known) {
      List<Record> records = new ArrayList<>(record == null ? List.of() : set.records);
      records.remove(record);
      take(set, records, set.ttlUs, true);
    }
  }

  /** Every instance as it stands. */
  List<Shown> shown() {
    return instances.values().stream()
        .map(
            i ->
                new Shown(
                    Names.instance(i.name),
                    i.claimed.values().stream().map(EndpointClaim::entry).toList(),
                    i.claimed.values().stream().mapToLong(EndpointClaim::untilUs).min().orElse(0),
                    i.trouble))
        .toList();
  }
}

package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.stream.Stream;

/**
 * Which brokers there are, in the manner of SWIM (Das, Gupta and Motivala, 2002): each looks at one
 * other at a time, in a row that is shuffled anew after each round; who does not answer is looked
 * at by a few others, then suspected, then dead. Word of it rides on what is said anyway, each item
 * a number of times that grows with the logarithm of the fleet. Who hears that it is suspected
 * gainsays that under a later incarnation. A broker that is ill itself gives the others more time
 * (Lifeguard), and members that hold other digests tell each other what differs, so that all come
 * to hold one set and know it.
 *
 * <p>Pure: events in, what is to be sent out. No clock, socket or thread; chance is drawn from the
 * seed. The bounds stand in docs/view.md.
 */
public final class MembershipProtocol {
  /** Items of one sort that ride on one word. */
  private static final int MOST_RIDING = 12;

  /**
   * So many looks in a row without one answer: then nobody is heard. One that does not know itself
   * goes by any word, and by fewer.
   */
  private static final int UNANSWERED_LOOKS = 8;

  private static final int UNHEARD_LOOKS = 3;
  private static final int TOLD_TIMES = 3;
  private static final int MOST_TO_REPEAT = 64;

  /** Looks that are repeated in one period. */
  private static final int REPEATED = 2;

  private static final int MOST_ADDRESSES = 64;

  /** Of the addresses to begin with so many are asked at once. */
  private static final int JOINS = 2;

  /** Where the words of this broker go; carried out in the order in which they were called. */
  public interface Out {
    void send(String host, int port, GossipMessage word);
  }

  /** An address to begin with. */
  public record Seed(String host, int port) {}

  /**
   * One look that is under way: at whom, for which time in a row, and until when an answer counts.
   */
  private record Look(
      String name, int time, long sinceUs, long directUntilUs, long untilUs, boolean[] helped) {}

  /** A look that was not answered, and that is to be made again. */
  private record Repeat(String name, int time) {}

  /** A look for another broker. */
  private record Errand(Member client, long number, long untilUs) {}

  private final MembershipProtocolSettings settings;
  private final List<Seed> seeds;
  private final SplittableRandom random;
  private final Out out;
  private final IntFunction<List<EndpointObservation>> riding;
  private final LocalHealth health;
  private final SuspicionTable suspicions;
  private final AntiEntropyDigest census;
  private final Convergence agreement = new Convergence();
  private final Map<String, Member> peers = new LinkedHashMap<>();
  private final Map<String, VersionVector> acting = new HashMap<>();

  /** Since when the dead are dead, and who left is gone. */
  private final Map<String, Long> sinceUs = new HashMap<>();

  private final UpdateQueue<String> news = new UpdateQueue<>();
  private final Map<Long, Look> looks = new LinkedHashMap<>();
  private final Map<Long, Errand> errands = new LinkedHashMap<>();
  private final Deque<Repeat> repeats = new ArrayDeque<>();
  private final List<String> row = new ArrayList<>();

  /** Where brokers were that were dead for long. */
  private final Set<Seed> addresses = new LinkedHashSet<>();

  private Member self;
  private Member displacedBy;
  private long digest;
  private long nextLookUs;
  private long heardUs = Long.MIN_VALUE;
  private long nextNumber;
  private int unanswered;
  private int pageBytesLeft;
  private int largest = 1;
  private long version;
  private long refused;
  private long declared;
  private VersionVector versions;
  private ClusterSnapshot view;
  private long views;

  /**
   * {@code self} is alive under an incarnation later than any before: the time of its start will
   * do. {@code riding}: what else goes with the next word, within so many bytes.
   */
  public MembershipProtocol(
      Member self,
      List<Seed> seeds,
      MembershipProtocolSettings settings,
      long seed,
      long nowUs,
      Out out,
      IntFunction<List<EndpointObservation>> riding) {
    this.self = self;
    this.seeds = seeds.stream().filter(s -> !self.isAt(s.host(), s.port())).toList();
    this.settings = settings;
    this.out = out;
    this.riding = riding;
    random = new SplittableRandom(seed);
    health = new LocalHealth(settings.mostHealth());
    census = new AntiEntropyDigest(settings.addresses());
    suspicions = new SuspicionTable(settings);
    nextLookUs = nowUs;
    pageBytesLeft = settings.pageBytes();
    census.add(self);
    digest = census.digest();
  }

  public Member self() {
    return self;
  }

  /** What is held now; the same one until something of it changes. */
  public ClusterSnapshot now() {
    if (view == null) {
      List<ClusterSnapshot.MemberView> members = new ArrayList<>();
      members.add(
          new ClusterSnapshot.MemberView(displacedBy == null ? self : displacedBy, 0, versions));
      peers.values().stream()
          .filter(Member::takesPart)
          .forEach(
              peer ->
                  members.add(
                      new ClusterSnapshot.MemberView(
                          peer, suspicions.accusers(peer.name()), acting.get(peer.name()))));
      members.sort((a, b) -> a.name().compareTo(b.name()));
      view =
          new ClusterSnapshot(
              ++views,
              members,
              digest,
              alone() ? -1 : agreement.settledUs(),
              agreement.unlike(),
              alone(),
              displacedBy);
    }
    return view;
  }

  /** All that is held of others. */
  public Collection<Member> peers() {
    return List.copyOf(peers.values());
  }

  /** Raised by each change of who takes part. */
  public long version() {
    return version;
  }

  /** The most that took part at once, this broker among them, as far as it knows. */
  public int largest() {
    return largest;
  }

  /**
   * True where looks are made and none was answered of late: this broker is cut off, or the last
   * one there is.
   */
  public boolean alone() {
    return unanswered >= (knowsItself() ? UNANSWERED_LOOKS : UNHEARD_LOOKS);
  }

  /** How far this broker stretches its own times: 0, it is well. */
  public int health() {
    return health.score();
  }

  /**
   * Brokers that were passed over, for there were too many or what was said of them could not be.
   */
  public long refused() {
    return refused;
  }

  /** Brokers that this one itself declared dead. */
  public long declared() {
    return declared;
  }

  /** What this broker acts on; each word says it. */
  public void acts(VersionVector on) {
    versions = on;
    view = null;
  }

  private boolean knowsItself() {
    return settings.mostHealth() > 0;
  }

  private boolean compares() {
    return settings.pageBytes() > 0;
  }

  /** When {@link #passed} is to be called next, in microseconds of the clock that it is given. */
  public long nextUs() {
    long next = nextLookUs;
    for (Look look : looks.values()) {
      next = Math.min(next, look.helped()[0] ? look.untilUs() : look.directUntilUs());
    }
    for (Errand errand : errands.values()) {
      next = Math.min(next, errand.untilUs());
    }
    for (String name : suspicions.names()) {
      next = Math.min(next, suspectedUntilUs(name));
    }
    for (long since : sinceUs.values()) {
      next = Math.min(next, since + settings.forgetUs());
    }
    return next;
  }

  /** Who hears nobody can say of nobody that it is dead. */
  private long suspectedUntilUs(String name) {
    return knowsItself() && alone()
        ? Long.MAX_VALUE
        : suspicions.dueUs(name, census.size(), health);
  }

  /** Time has passed. */
  public void passed(long nowUs) {
    stoodStill(nowUs);
    errands
        .values()
        .removeIf(
            errand -> {
              boolean over = nowUs >= errand.untilUs();
              if (over && knowsItself()) { // the client shall know that its helper lives
                say(
                    errand.client().host(),
                    errand.client().port(),
                    GossipMessage.Kind.GOSSIP,
                    0,
                    "");
              }
              return over;
            });
    for (Map.Entry<Long, Look> entry : List.copyOf(looks.entrySet())) {
      Look look = entry.getValue();
      if (nowUs >= look.untilUs()) {
        looks.remove(entry.getKey());
        failed(look, nowUs);
      } else if (nowUs >= look.directUntilUs() && !look.helped()[0]) {
        look.helped()[0] = true;
        askOthers(entry.getKey(), look);
      }
    }
    for (String name : List.copyOf(suspicions.names())) {
      if (nowUs >= suspectedUntilUs(name)) {
        declared++;
        hold(peers.get(name).as(Member.Status.DEAD), nowUs);
      }
    }
    for (String name : List.copyOf(sinceUs.keySet())) {
      if (nowUs - sinceUs.get(name) >= settings.forgetUs()) {
        forget(name);
      }
    }
    if (nowUs >= nextLookUs) {
      if (nowUs - nextLookUs > settings.answerUs()) {
        health.worse(1);
      }
      nextLookUs = nowUs + settings.everyUs();
      pageBytesLeft = settings.pageBytes();
      look(nowUs);
      if (compares() && agreement.check(needed(), nowUs)) {
        view = null;
      }
      agreement
          .toAsk(nowUs, settings.everyUs())
          .map(peers::get)
          .ifPresent(
              peer ->
                  say(
                      peer.host(),
                      peer.port(),
                      GossipMessage.Kind.GOSSIP,
                      GossipMessage.COMPARE,
                      "",
                      census.buckets()));
    }
  }

  /**
   * Whoever did not run for a while heard no answers meanwhile, and may not hold that against
   * anybody.
   */
  private void stoodStill(long nowUs) {
    long lateUs = nowUs - nextLookUs;
    if (knowsItself() && lateUs >= settings.everyUs()) {
      health.worse(lateUs / settings.everyUs());
      looks.clear();
      repeats.clear();
      errands.clear();
      suspicions.beginAnew(nowUs);
      nextLookUs = nowUs;
    }
  }

  private void failed(Look look, long nowUs) {
    boolean before = alone();
    unanswered++;
    if (before != alone()) {
      view = null;
    }
    if (heardUs < look.sinceUs()) {
      health.worse(1);
    }
    Member peer = peers.get(look.name());
    if (peer == null || !peer.takesPart() || (knowsItself() && alone())) {
      return;
    }
    if (look.time() < settings.tries()) {
      if (repeats.size() < MOST_TO_REPEAT) {
        repeats.add(new Repeat(look.name(), look.time() + 1));
      }
      return;
    }
    if (peer.status() == Member.Status.ALIVE) {
      peer = peer.as(Member.Status.SUSPECT);
      hold(peer, nowUs);
      suspicions.accused(new SuspicionReport(peer.name(), peer.incarnation(), self.name()));
      if (knowsItself()) { // before anybody else
        say(peer.host(), peer.port(), GossipMessage.Kind.GOSSIP, 0, "");
      }
    } else {
      view =
          suspicions.accused(new SuspicionReport(peer.name(), peer.incarnation(), self.name()))
              ? null
              : view;
    }
  }

  private void forget(String name) {
    Member gone = peers.remove(name);
    sinceUs.remove(name);
    news.forget(name);
    if (gone.status() == Member.Status.DEAD && compares()) {
      addresses.add(new Seed(gone.host(), gone.port()));
      if (addresses.size() > MOST_ADDRESSES) {
        addresses.remove(addresses.iterator().next());
      }
    }
  }

  private void look(long nowUs) {
    boolean rowEnds = row.isEmpty();
    Member next = nextInRow();
    if (next == null
        || alone()) { // nobody is known, or nobody answers: those that were named at the start may
      // be there
      join(compares() ? JOINS : Integer.MAX_VALUE);
    } else if (compares()
        && rowEnds) { // others may be there that nobody here knows, or knows any more
      join(1);
    }
    if (next != null) {
      look(next, 1, nowUs);
    }
    for (int i = 0; i < REPEATED && !repeats.isEmpty(); i++) {
      Repeat repeat = repeats.remove();
      Member peer = peers.get(repeat.name());
      if (peer != null && peer.takesPart()) {
        look(peer, repeat.time(), nowUs);
      }
    }
  }

  private void look(Member at, int time, long nowUs) {
    looks.put(
        ++nextNumber,
        new Look(
            at.name(),
            time,
            nowUs,
            nowUs + health.stretched(settings.answerUs()),
            nowUs + health.stretched(2 * settings.answerUs()),
            new boolean[1]));
    say(at.host(), at.port(), GossipMessage.Kind.PING, nextNumber, "");
  }

  /** Asks so many of the addresses where no member is. */
  private void join(int most) {
    List<Seed> free = new ArrayList<>(seeds);
    addresses.stream().filter(address -> !seeds.contains(address)).forEach(free::add);
    if (compares()) {
      peers.values().stream()
          .filter(Member::takesPart)
          .forEach(peer -> free.remove(new Seed(peer.host(), peer.port())));
    }
    for (int i = 0; i < most && !free.isEmpty(); i++) {
      Seed address = free.remove(compares() ? random.nextInt(free.size()) : 0);
      say(address.host(), address.port(), GossipMessage.Kind.JOIN, ++nextNumber, "");
    }
  }

  /**
   * Each that takes part once, in a shuffled row; then anew. The dead are looked at too, one a
   * round: a cut may have healed.
   */
  private Member nextInRow() {
    while (true) {
      if (row.isEmpty()) {
        List<String> dead = new ArrayList<>();
        for (Member peer : peers.values()) {
          if (peer.takesPart()) {
            row.add(random.nextInt(row.size() + 1), peer.name());
          } else if (peer.status() == Member.Status.DEAD) {
            dead.add(peer.name());
          }
        }
        if (!dead.isEmpty()) {
          row.add(random.nextInt(row.size() + 1), dead.get(random.nextInt(dead.size())));
        }
        if (row.isEmpty()) {
          return null;
        }
      }
      Member peer = peers.get(row.remove(row.size() - 1));
      if (peer != null && peer.status() != Member.Status.LEFT) {
        return peer;
      }
    }
  }

  /**
   * Where there are fewer others than are to be asked, some are asked more than once, and the one
   * itself is: any word may have been lost.
   */
  private void askOthers(long number, Look look) {
    List<Member> others = new ArrayList<>();
    peers.values().stream()
        .filter(peer -> peer.status() == Member.Status.ALIVE && !peer.name().equals(look.name()))
        .forEach(others::add);
    List<Member> left = new ArrayList<>(others);
    for (int i = 0; i < settings.helpers() && !others.isEmpty(); i++) {
      if (left.isEmpty()) {
        if (!knowsItself()) {
          break;
        }
        left.addAll(others);
      }
      Member helper = left.remove(random.nextInt(left.size()));
      say(helper.host(), helper.port(), GossipMessage.Kind.PING_REQUEST, number, look.name());
    }
    Member peer = peers.get(look.name());
    if (knowsItself() && peer != null) {
      say(peer.host(), peer.port(), GossipMessage.Kind.PING, number, "");
    }
  }

  /**
   * One word came in. What it says of its sender and of others is merged; what can not be is passed
   * over.
   */
  public void heard(long nowUs, GossipMessage word) {
    Member from = word.from();
    if (from.name().equals(self.name()) && self.isAt(from.host(), from.port())) {
      return; // its own word, or one of its earlier life
    }
    stoodStill(nowUs);
    heardUs = nowUs;
    if (!knowsItself()) {
      unanswered = 0;
    }
    merge(from, nowUs);
    word.peers().forEach(peer -> merge(peer, nowUs));
    word.doubts().forEach(doubt -> merge(doubt, nowUs));
    compare(word, nowUs);
    switch (word.kind()) {
      case PING -> say(from.host(), from.port(), GossipMessage.Kind.ACK, word.number(), "");
      case JOIN -> {
        if (!compares()) {
          news.allFresh(
              peers.keySet()); // a newcomer, or one that was cut off, is told all that there is
        }
        say(from.host(), from.port(), GossipMessage.Kind.ACK, word.number(), "");
        if (compares() && word.digest() != digest) {
          tellPages(from, census.differing(List.of()));
        }
      }
      case PING_REQUEST -> {
        Member asked = peers.get(word.about());
        if (asked != null && errands.size() < settings.mostPeers()) {
          // less than the client waits, so that it hears of its helper at any rate
          errands.put(
              ++nextNumber, new Errand(from, word.number(), nowUs + settings.answerUs() * 3 / 4));
          say(asked.host(), asked.port(), GossipMessage.Kind.PING, nextNumber, "");
        }
      }
      case ACK -> {
        Errand errand = errands.remove(word.number());
        if (errand != null) {
          say(
              errand.client().host(),
              errand.client().port(),
              GossipMessage.Kind.ACK,
              errand.number(),
              from.name());
        }
        Look look = looks.get(word.number());
        if (look != null && (look.name().equals(from.name()) || look.name().equals(word.about()))) {
          looks.remove(word.number());
          answered(look, nowUs);
        }
      }
      case LEAVE, GOSSIP -> {
        // what they say was merged
      }
    }
  }

  private void answered(Look look, long nowUs) {
    health.better();
    repeats.removeIf(repeat -> repeat.name().equals(look.name()));
    if (knowsItself() && alone()) {
      suspicions.beginAnew(nowUs);
      view = null;
    }
    unanswered = 0;
  }

  /**
   * What the word says of the set as a whole: its digest, and where that is taken apart, what
   * differs.
   */
  private void compare(GossipMessage word, long nowUs) {
    Member from = word.from();
    Member held = peers.get(from.name());
    boolean same = word.digest() == digest;
    if (held != null && held.takesPart() && held.isAt(from.host(), from.port())) {
      if (word.versions() != null
          && !word.versions().equals(acting.put(from.name(), word.versions()))) {
        view = null;
      }
      if (compares() && word.digest() != 0 && agreement.heard(from.name(), same, needed(), nowUs)) {
        view = null;
      }
    }
    if (word.buckets().isEmpty() || !compares()) {
      return;
    }
    if (word.number() == GossipMessage.COMPARE) {
      say(
          from.host(),
          from.port(),
          GossipMessage.Kind.GOSSIP,
          GossipMessage.COMPARED,
          "",
          census.buckets());
    }
    if (!same) {
      tellPages(from, census.differing(word.buckets()));
    }
  }

  /** Others who hold the same, for it to count as settled. */
  private int needed() {
    int others = census.size() - 1;
    return others == 0 && !seeds.isEmpty() ? 1 : Math.min(others, 1 + logarithm(others));
  }

  private static int logarithm(int of) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(of);
  }

  /**
   * All that is held in these buckets, as far as this period's purse goes, from anywhere on: the
   * rest comes with another exchange.
   */
  private void tellPages(Member to, boolean[] buckets) {
    List<Member> all = new ArrayList<>();
    peers.values().stream()
        .filter(peer -> buckets[AntiEntropyDigest.bucket(peer.name())])
        .forEach(all::add);
    int from = all.isEmpty() ? 0 : random.nextInt(all.size());
    List<Member> page = new ArrayList<>();
    int left = room(List.of(), "");
    for (int i = 0; i < all.size(); i++) {
      Member peer = all.get((from + i) % all.size());
      if (peer.bytes() > left) {
        if (!tellPage(to, page)) {
          return;
        }
        page.clear();
        left = room(List.of(), "");
      }
      left -= peer.bytes();
      page.add(peer);
    }
    if (!page.isEmpty()) {
      tellPage(to, page);
    }
  }

  private boolean tellPage(Member to, List<Member> page) {
    GossipMessage word =
        new GossipMessage(
            GossipMessage.Kind.GOSSIP,
            self,
            0,
            "",
            versions,
            page,
            List.of(),
            compares() ? digest : 0,
            List.of(),
            List.of());
    pageBytesLeft -= word.bytes();
    if (pageBytesLeft < 0) {
      return false;
    }
    out.send(to.host(), to.port(), word);
    return true;
  }

  /** Has that broker told at once what rides on words, if it takes part. */
  public void tell(String name) {
    Member peer = peers.get(name);
    if (peer != null && peer.takesPart()) {
      say(peer.host(), peer.port(), GossipMessage.Kind.GOSSIP, 0, "");
    }
  }

  /** This broker ends: all that are known are told, so that none has to find it out. */
  public void leave() {
    self = self.as(Member.Status.LEFT);
    for (int i = 0;
        i < (knowsItself() ? 2 : 1);
        i++) { // who does not hear it must find it out: it is said twice
      peers.values().stream()
          .filter(Member::takesPart)
          .forEach(peer -> say(peer.host(), peer.port(), GossipMessage.Kind.LEAVE, 0, ""));
    }
  }

  private void merge(SuspicionReport doubt, long nowUs) {
    Member held = peers.get(doubt.name());
    if (doubt.name().equals(self.name())) {
      if (doubt.incarnation() == self.incarnation()) {
        ofSelf(self.as(Member.Status.SUSPECT));
      }
    } else if (held != null && held.incarnation() == doubt.incarnation() && held.takesPart()) {
      if (held.status() == Member.Status.ALIVE) {
        hold(held.as(Member.Status.SUSPECT), nowUs);
      }
      view = suspicions.accused(doubt) ? null : view;
    }
  }

  private void merge(Member said, long nowUs) {
    if (!said.isBelievable()) {
      refused++;
      return;
    }
    if (said.name().equals(self.name())) {
      ofSelf(said);
      return;
    }
    Member held = peers.get(said.name());
    if (held == null && !said.takesPart() && compares()) {
      return; // it was forgotten here: those who remember it a little longer would bring it back
      // for all, for ever
    }
    if (held == null && peers.size() >= settings.mostPeers()) {
      refused++;
    } else if (held == null || said.replaces(held)) {
      hold(said, nowUs);
    }
  }

  /** What others say of the name that this broker bears. */
  private void ofSelf(Member said) {
    if (self.status() != Member.Status.ALIVE) {
      return;
    }
    boolean here = self.isAt(said.host(), said.port());
    if (here
        && (said.incarnation() > self.incarnation()
            || (said.incarnation() == self.incarnation()
                && said.status() != Member.Status.ALIVE))) {
      if (displacedBy == null) { // it is not, or an earlier life was: it says this itself
        health.worse(said.status() == Member.Status.SUSPECT ? 1 : 0);
        become(self.in(said.incarnation() + 1), null);
      }
    } else if (!here
        && said.replaces(self)
        && (displacedBy == null || said.replaces(displacedBy))) {
      if (said.takesPart()) { // it bears the name by right
        become(self, said);
      } else {
        become(self.in(said.incarnation() + 1), null);
      }
    }
  }

  private void become(Member own, Member other) {
    census.remove(displacedBy == null ? self : displacedBy);
    self = own;
    displacedBy = other;
    census.add(displacedBy == null ? self : displacedBy);
    counted();
    view = null;
  }

  private void hold(Member peer, long nowUs) {
    Member before = peers.put(peer.name(), peer);
    if (peer.status() == Member.Status.SUSPECT) {
      suspicions.begin(peer.name(), peer.incarnation(), nowUs);
    } else {
      suspicions.end(peer.name());
    }
    if (peer.takesPart()) {
      sinceUs.remove(peer.name());
    } else if (before == null
        || before.status() != peer.status()
        || before.incarnation() != peer.incarnation()) {
      sinceUs.put(peer.name(), nowUs);
    }
    news.fresh(peer.name());
    boolean there = before != null && before.takesPart();
    if (there) {
      census.remove(before);
    }
    if (peer.takesPart()) {
      census.add(peer);
    } else {
      acting.remove(peer.name());
      agreement.left(peer.name());
    }
    if (there != peer.takesPart()) {
      version++;
      largest = Math.max(largest, census.size());
    }
    counted();
    view = null;
  }

  private void counted() {
    long now = census.digest();
    if (now != digest) {
      digest = now;
      agreement.changed();
    }
  }

  private void say(String host, int port, GossipMessage.Kind kind, long number, String about) {
    say(host, port, kind, number, about, List.of());
  }

  private int room(List<Long> buckets, String about) {
    return settings.wordBytes()
        - new GossipMessage(
                GossipMessage.Kind.GOSSIP,
                self,
                0,
                about,
                versions,
                List.of(),
                List.of(),
                digest,
                buckets,
                List.of())
            .bytes();
  }

  private void say(
      String host,
      int port,
      GossipMessage.Kind kind,
      long number,
      String about,
      List<Long> buckets) {
    int left = room(buckets, about);
    Set<String> chosen = new LinkedHashSet<>();
    notAlive()
        .filter(name -> peers.get(name).isAt(host, port))
        .limit(1) // it is told so, or it could not gainsay it
        .forEach(chosen::add);
    chosen.addAll(news.next(MOST_RIDING));
    int times = TOLD_TIMES * (1 + logarithm(peers.size()));
    List<Member> riders = new ArrayList<>();
    for (String name : chosen) {
      Member peer = peers.get(name);
      if (peer.bytes() <= left) {
        left -= peer.bytes();
        riders.add(peer);
        news.rides(name, times);
      }
    }
    List<SuspicionReport> doubts = suspicions.riding(MOST_RIDING, left, times);
    left -= doubts.stream().mapToInt(SuspicionReport::bytes).sum();
    out.send(
        host,
        port,
        new GossipMessage(
            kind,
            self,
            number,
            about,
            versions,
            riders,
            riding.apply(left),
            compares() ? digest : 0,
            buckets,
            doubts));
  }

  private Stream<String> notAlive() {
    return Stream.concat(suspicions.names().stream(), sinceUs.keySet().stream());
  }
}

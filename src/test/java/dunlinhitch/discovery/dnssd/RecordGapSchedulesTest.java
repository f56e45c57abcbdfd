package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.experiments.dns.Zone;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/**
 * Seeded schedules of changes of a zone, lost and silent push sessions, late pushes, and a server
 * for queries that lags, loses or refuses queries, on a virtual clock without sockets. A withdrawn
 * instance has no claim after the bound, and at the end the claims are those of the zone.
 */
class RecordGapSchedulesTest {
  private static final String SERVICE = "_calendar._tcp.example.org.";
  private static final Question LIST = new Question(Names.parse(SERVICE), Type.PTR);
  private static final int SCHEDULES = 200;
  private static final int INSTANCES = 12;
  private static final int HOSTS = 3;
  private static final long TTL_S = 120;
  private static final long MS = 1_000;
  private static final long SECOND = 1_000 * MS;
  private static final long STEP_US = 10 * MS;
  private static final long TROUBLE_US = 40 * SECOND;
  private static final long QUIET_US = 10 * SECOND;
  private static final long QUERY_TIMEOUT_US = SECOND;
  private static final long PROBE_TIMEOUT_US = SECOND;

  /** A change counts as received at the latest this long after the server can be asked for it. */
  private static final long BOUND_US = 6 * SECOND;

  @Test
  void noChangeIsMissedForLongerThanTheBound() {
    List<String> broken = new ArrayList<>();
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      String verdict = new Schedule(seed).play();
      if (!verdict.isEmpty()) {
        broken.add("seed " + seed + ": " + verdict);
      }
    }
    assertEquals(List.of(), broken);
  }

  /** The zone's content at one moment, as the server for queries may still answer it. */
  private record Version(long sinceUs, Zone zone) {}

  private record Delivery(long dueUs, long order, Runnable action) {}

  /** One schedule; each of its parts draws from a generator of its own. */
  private static final class Schedule {
    private final SplittableRandom random;
    private final long startUs = 1_000 * SECOND;
    private long nowUs = startUs;
    private long order;
    private final Zone zone = new Zone("example.org.");
    private final Deque<Version> versions = new ArrayDeque<>();
    private final Map<String, List<Record>> listed = new TreeMap<>();
    private final Map<String, Long> withdrawnUs = new HashMap<>();
    private final PriorityQueue<Delivery> deliveries =
        new PriorityQueue<>(
            (one, other) ->
                one.dueUs() == other.dueUs()
                    ? Long.compare(one.order(), other.order())
                    : Long.compare(one.dueUs(), other.dueUs()));
    private final TreeMap<String, EndpointClaim> claims = new TreeMap<>();
    private final ServiceRecords records;
    private final ZoneSerialPoller poller;
    private final long lagUs;
    private final double faultRate;

    private boolean sessionUp;
    private boolean sessionSilent;
    private int session;
    private long sessionChangesUs;
    private long lastPushUs;
    private boolean probing;
    private final Set<Question> subscribed = new HashSet<>();

    private boolean serverDown;
    private long serverUpUs;

    Schedule(long seed) {
      random = new SplittableRandom(seed);
      lagUs = random.nextInt(3) == 0 ? random.nextLong(2 * SECOND) : 0;
      faultRate = random.nextInt(2) == 0 ? 0.2 : 0;
      records =
          new ServiceRecords(
              List.of(LIST.name()),
              new TxtRecordParser(new EndpointListReader(List.of("a"), event -> {})),
              ServiceRecords.Limits.STANDARD,
              random.split(),
              nowUs);
      poller = new ZoneSerialPoller(0, true, nowUs);
      zone.listen(changes -> changes.forEach(this::pushLater));
      for (int i = 0; i < INSTANCES; i++) {
        register(i);
      }
    }

    String play() {
      long troubleEndUs = startUs + TROUBLE_US;
      while (nowUs < troubleEndUs + QUIET_US) {
        if (nowUs < troubleEndUs) {
          disturb();
        } else {
          calm();
        }
        advance();
        String late = lateWithdrawal();
        if (!late.isEmpty()) {
          return late;
        }
        nowUs += STEP_US;
      }
      Set<String> expected = new TreeSet<>();
      listed.forEach((instance, described) -> expected.add(describe(described)));
      Set<String> actual = new TreeSet<>();
      claims.values().forEach(claim -> actual.add(describe(claim)));
      return expected.equals(actual) ? "" : "expected " + expected + ", claims " + actual;
    }

    // ---- disturbances

    private boolean chance(double perSecond) {
      return random.nextDouble() < perSecond * STEP_US / SECOND;
    }

    private void disturb() {
      if (chance(0.8)) {
        changeZone();
      }
      if (sessionUp && chance(0.3)) {
        endSession();
      }
      if (sessionUp && chance(0.1)) {
        sessionSilent = true;
      }
      if (!serverDown && chance(0.05)) {
        serverDown = true;
      }
      if (serverDown && chance(0.5)) {
        restoreServer();
      }
    }

    private void calm() {
      if (serverDown) {
        restoreServer();
      }
    }

    private void restoreServer() {
      serverDown = false;
      serverUpUs = nowUs;
    }

    private void changeZone() {
      int index = random.nextInt(INSTANCES);
      String instance = "i" + index;
      List<Record> described = listed.get(instance);
      if (described == null) {
        register(index);
        return;
      }
      switch (random.nextInt(4)) {
        case 0 -> withdraw(instance, described);
        case 1 -> replace(instance, described, 1, srv(described, 7_000 + random.nextInt(900)));
        case 2 -> replace(instance, described, 2, text(instance, "cell=" + random.nextInt(4)));
        default -> replace(instance, described, 2, text(instance, "cell=1", "state=draining"));
      }
    }

    private void register(int index) {
      String instance = "i" + index;
      String host = "127.0.0." + (1 + index % HOSTS);
      List<Record> described =
          new ArrayList<>(
              Zone.store(
                  SERVICE,
                  instance,
                  host,
                  7_000 + random.nextInt(900),
                  TTL_S,
                  "id=" + instance,
                  "cell=1",
                  "zone=a"));
      zone.change(List.of(), described);
      listed.put(instance, described);
      withdrawnUs.remove(instance);
      saveVersion();
    }

    private void withdraw(String instance, List<Record> described) {
      zone.change(described.subList(0, 3), List.of());
      listed.remove(instance);
      withdrawnUs.put(instance, nowUs);
      saveVersion();
    }

    private void replace(String instance, List<Record> described, int index, Record replacement) {
      zone.change(List.of(described.get(index)), List.of(replacement));
      listed.get(instance).set(index, replacement);
      saveVersion();
    }

    private static Record srv(List<Record> described, int port) {
      SRVRecord before = (SRVRecord) described.get(1);
      return new SRVRecord(before.getName(), DClass.IN, TTL_S, 0, 0, port, before.getTarget());
    }

    private static Record text(String instance, String... more) {
      List<String> attributes = new ArrayList<>(List.of("id=" + instance, "zone=a"));
      attributes.addAll(List.of(more));
      Name name = Names.parse(instance + "." + SERVICE);
      return new TXTRecord(name, DClass.IN, TTL_S, attributes);
    }

    /** Keeps a copy of the zone with its serial, for a server that lags. */
    private void saveVersion() {
      Zone copy = new Zone("example.org.");
      while (copy.serial() < zone.serial() - 1) {
        Record filler = Zone.pointer(SERVICE, "filler", TTL_S);
        if (copy.get(LIST).isEmpty()) {
          copy.add(filler);
        } else {
          copy.remove(filler);
        }
      }
      List<Record> filler = copy.get(LIST);
      List<Record> content = new ArrayList<>();
      for (Question key : zone.keys()) {
        content.addAll(zone.get(key));
      }
      copy.change(filler, content);
      versions.add(new Version(nowUs, copy));
      while (versions.size() > 1 && secondVersionUs() <= nowUs - 3 * SECOND) {
        versions.remove();
      }
    }

    private long secondVersionUs() {
      return versions.stream().skip(1).findFirst().orElseThrow().sinceUs();
    }

    private Zone queriedZone() {
      Zone found = versions.getFirst().zone();
      for (Version version : versions) {
        found = version.sinceUs() <= nowUs - lagUs ? version.zone() : found;
      }
      return found;
    }

    // ---- the push session

    private void endSession() {
      sessionUp = false;
      session++;
      probing = false;
      sessionChangesUs = nowUs + random.nextLong(4 * SECOND);
      for (Question key : subscribed) {
        records.onSubscriptionChanged(nowUs, key, false);
      }
      subscribed.clear();
    }

    private void connect() {
      sessionUp = true;
      sessionSilent = false;
      lastPushUs = nowUs;
    }

    private void subscribe(Question key) {
      subscribed.add(key);
      deliver(
          () -> {
            records.onSubscriptionChanged(nowUs, key, true);
            List<Record> initial = zone.get(key);
            deliver(() -> initial.forEach(record -> records.onRecordAdded(nowUs, record)));
          });
    }

    private void pushLater(Dso.PushChange change) {
      if (!sessionUp || !subscribed.contains(change.key())) {
        return;
      }
      deliver(
          () -> {
            if (change.removed()) {
              records.onRecordRemoved(nowUs, change.key(), change.record());
            } else {
              records.onRecordAdded(nowUs, change.record());
            }
          });
    }

    /** Delivers something from the push server, in order, unless the session ends before. */
    private void deliver(Runnable action) {
      int sentIn = session;
      lastPushUs = Math.max(lastPushUs, nowUs + random.nextLong(60 * MS));
      later(
          lastPushUs,
          () -> {
            if (sentIn == session && !sessionSilent) {
              action.run();
            }
          });
    }

    private void probe() {
      if (!sessionUp || probing) {
        return;
      }
      probing = true;
      int probed = session;
      deliver(() -> probing = false);
      later(
          nowUs + PROBE_TIMEOUT_US,
          () -> {
            if (probing && probed == session) {
              endSession();
            }
          });
    }

    // ---- the clock

    private void later(long dueUs, Runnable action) {
      deliveries.add(new Delivery(dueUs, ++order, action));
    }

    private void advance() {
      if (!sessionUp && nowUs >= sessionChangesUs) {
        connect();
      }
      while (!deliveries.isEmpty() && deliveries.peek().dueUs() <= nowUs) {
        deliveries.remove().action().run();
      }
      if (poller.startPoll(nowUs, sessionUp)) {
        pollSerial();
      }
      for (Question question : records.startQueries(nowUs)) {
        query(question);
      }
      if (sessionUp) {
        for (Question key : List.copyOf(records.subscriptionKeys())) {
          if (!subscribed.contains(key)) {
            subscribe(key);
          }
        }
      }
      for (EndpointClaim claim : records.drainClaims(nowUs).claims()) {
        if (claim.endpoint() == null) {
          claims.remove(claim.key());
        } else {
          claims.put(claim.key(), claim);
        }
      }
    }

    // ---- the server for queries

    private boolean fails() {
      return serverDown || (nowUs < startUs + TROUBLE_US && random.nextDouble() < faultRate);
    }

    private long latencyUs() {
      return random.nextLong(100 * MS);
    }

    private void pollSerial() {
      if (fails()) {
        later(nowUs + QUERY_TIMEOUT_US, () -> onSerial(null));
        return;
      }
      Record question = new Question(zone.origin(), Type.SOA).record();
      Message answer = queriedZone().answer(Message.newQuery(question));
      later(nowUs + latencyUs(), () -> onSerial(answer));
    }

    private void onSerial(Message answer) {
      switch (poller.onResponse(nowUs, answer)) {
        case CHANGED, FIRST -> {
          records.refreshAll(nowUs);
          probe();
        }
        case NO_SERIAL, FAILED -> probe();
        case UNCHANGED -> {}
      }
    }

    private void query(Question question) {
      if (fails()) {
        failQuery(question);
        return;
      }
      Message answer = queriedZone().answer(Message.newQuery(question.record()));
      answer.removeAllRecords(Section.ADDITIONAL);
      later(nowUs + latencyUs(), () -> records.onResponse(nowUs, question, answer));
    }

    private void failQuery(Question question) {
      Message useless = new Message();
      switch (random.nextInt(4)) {
        case 0 -> useless.getHeader().setRcode(Rcode.REFUSED);
        case 1 -> useless.getHeader().setFlag(Flags.TC);
        case 2 -> useless.getHeader().setRcode(Rcode.NXDOMAIN);
        default -> {
          later(nowUs + QUERY_TIMEOUT_US, () -> records.onFailure(nowUs, question));
          return;
        }
      }
      later(nowUs + latencyUs(), () -> records.onResponse(nowUs, question, useless));
    }

    // ---- the checks

    /** Returns a withdrawn instance that still has a claim, or an empty text. */
    private String lateWithdrawal() {
      if (serverDown) {
        return "";
      }
      for (Map.Entry<String, Long> withdrawn : withdrawnUs.entrySet()) {
        long toldUs = Math.max(withdrawn.getValue() + lagUs, serverUpUs) + BOUND_US;
        boolean claimed =
            claims.values().stream()
                .anyMatch(claim -> claim.endpoint().name().equals(withdrawn.getKey()));
        if (claimed && nowUs > toldUs) {
          return withdrawn + " has a claim at " + (nowUs - startUs);
        }
      }
      return "";
    }

    private static String describe(List<Record> described) {
      SRVRecord srv = (SRVRecord) described.get(1);
      TXTRecord txt = (TXTRecord) described.get(2);
      return srv.getPort() + " " + new TreeSet<>(txt.getStrings());
    }

    private static String describe(EndpointClaim claim) {
      Set<String> attributes = new TreeSet<>(Set.of("id=" + claim.endpoint().name(), "zone=a"));
      attributes.add("cell=" + claim.endpoint().cell());
      if (!claim.endpoint().state().name().equals("READY")) {
        attributes.add("state=draining");
      }
      return claim.endpoint().port() + " " + attributes;
    }
  }
}

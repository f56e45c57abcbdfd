package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/**
 * Records that change while no push session reports it. Each order of events is scripted: queries
 * stay in flight until the test answers them, and pushes arrive when the test passes them on.
 */
class RecordGapsTest extends AbstractServiceRecordsTest {
  /** A change that was missed counts as received after this time. */
  private static final long BOUND_US = 6 * US_PER_SECOND;

  private static final long STEP_US = 20_000;
  private static final Question LIST = new Question(Names.parse(SERVICE), Type.PTR);
  private static final Name ONE = Names.parse("one." + SERVICE);
  private static final Name HOST = Names.parse("host-127-0-0-1.example.org.");

  @BeforeEach
  void followTwoEndpoints() {
    zone.change(List.of(), endpoint("one", 7001));
    zone.change(List.of(), endpoint("two", 7002));
    respondToAll(records);
    subscribe();
    pass(BOUND_US);
    assertEquals(List.of(7001, 7002), claimedPorts());
  }

  /** Starts a push session that sends all records. */
  private void subscribe() {
    for (Question key : List.copyOf(records.subscriptionKeys())) {
      records.onSubscriptionChanged(nowUs, key, true);
      push(key, zone.get(key));
    }
    applyClaims(records);
  }

  private void push(Question key, Collection<Record> pushed) {
    pushed.forEach(record -> records.onRecordAdded(nowUs, record));
    assertTrue(records.subscriptionKeys().contains(key));
  }

  private void endSession() {
    for (Question key : List.copyOf(records.subscriptionKeys())) {
      records.onSubscriptionChanged(nowUs, key, false);
    }
    applyClaims(records);
  }

  /** Answers all queries that are due in the given time. */
  private void pass(long durationUs) {
    long endUs = nowUs + durationUs;
    respondToAll(records);
    while (nowUs < endUs) {
      nowUs += STEP_US;
      respondToAll(records);
    }
  }

  private static Record pointer(String instance) {
    return new PTRRecord(LIST.name(), DClass.IN, 100, Names.parse(instance + "." + SERVICE));
  }

  private static SRVRecord srv(int port) {
    return new SRVRecord(ONE, DClass.IN, 100, 0, 0, port, HOST);
  }

  private static Record text(String... attributes) {
    return new TXTRecord(ONE, DClass.IN, 100, List.of(attributes));
  }

  /** Each record type that can change in a gap, and what the claims must be after it. */
  private void changeOne(int type) throws Exception {
    switch (type) {
      case Type.PTR -> zone.remove(pointer("one"));
      case Type.SRV -> zone.change(List.of(srv(7001)), List.of(srv(7009)));
      case Type.TXT ->
          zone.change(
              List.of(text("id=one", "cell=1", "zone=a")),
              List.of(text("id=one", "cell=2", "zone=a")));
      case Type.A -> zone.change(List.of(address("127.0.0.1")), List.of(address("127.0.0.9")));
      case Type.AAAA ->
          zone.change(
              List.of(address("127.0.0.1")),
              List.of(new AAAARecord(HOST, DClass.IN, 100, InetAddress.getByName("::9"))));
      default -> throw new IllegalArgumentException("type " + type);
    }
  }

  private static ARecord address(String text) throws Exception {
    return new ARecord(HOST, DClass.IN, 100, InetAddress.getByName(text));
  }

  private void assertOneChanged(int type) {
    List<Integer> ports =
        switch (type) {
          case Type.PTR -> List.of(7002);
          case Type.SRV -> List.of(7002, 7009);
          default -> List.of(7001, 7002);
        };
    assertEquals(ports, claimedPorts());
    if (type == Type.TXT) {
      assertEquals(2, claims.firstEntry().getValue().endpoint().cell());
    }
    if (type == Type.A) {
      assertEquals("127.0.0.9", claims.firstEntry().getValue().endpoint().host());
    }
    if (type == Type.AAAA) {
      assertTrue(claims.firstEntry().getValue().endpoint().host().endsWith(":9"));
    }
  }

  /** Guards against a record that is kept though it changed while the push session was away. */
  @ParameterizedTest
  @ValueSource(ints = {Type.PTR, Type.SRV, Type.TXT, Type.A, Type.AAAA})
  void aChangeBetweenTwoSessionsIsFound(int type) throws Exception {
    endSession();
    respondToAll(records);
    nowUs += US_PER_SECOND;
    changeOne(type);
    nowUs += US_PER_SECOND;
    subscribe();
    pass(BOUND_US - US_PER_SECOND);
    assertOneChanged(type);
  }

  /**
   * Guards against a change between the last push and a loss of the session that is not replaced.
   */
  @ParameterizedTest
  @ValueSource(ints = {Type.PTR, Type.SRV, Type.TXT, Type.A, Type.AAAA})
  void aChangeThatADyingSessionDidNotSendIsFound(int type) throws Exception {
    changeOne(type);
    endSession();
    pass(BOUND_US);
    assertOneChanged(type);
  }

  /** Guards against a gap between the first answer and the first subscription after a start. */
  @ParameterizedTest
  @ValueSource(ints = {Type.PTR, Type.SRV, Type.TXT, Type.A, Type.AAAA})
  void aChangeBetweenFirstAnswerAndFirstSubscriptionIsFound(int type) throws Exception {
    ServiceRecords started = browse(LIST.name());
    claims.clear();
    respondToAll(started);
    assertEquals(List.of(7001, 7002), claimedPorts());
    changeOne(type);
    for (Question key : List.copyOf(started.subscriptionKeys())) {
      started.onSubscriptionChanged(nowUs, key, true);
      zone.get(key).forEach(record -> started.onRecordAdded(nowUs, record));
    }
    long endUs = nowUs + BOUND_US;
    while (nowUs < endUs) {
      respondToAll(started);
      nowUs += STEP_US;
    }
    assertOneChanged(type);
  }

  /** Guards against an answer older than the subscription that is taken for a newer one. */
  @Test
  void anAnswerThatWasAskedForBeforeTheSubscriptionEndsNoDoubt() {
    endSession();
    List<Question> due = records.startQueries(nowUs);
    assertEquals(List.of(LIST), due, "lists of instances are compared first");
    Message old = zoneResponse(LIST);
    zone.remove(pointer("one"));
    subscribe();
    records.onResponse(nowUs, LIST, old);
    assertEquals(List.of(LIST), records.startQueries(nowUs), "asked again at once");
    records.onResponse(nowUs, LIST, zoneResponse(LIST));
    applyClaims(records);
    assertEquals(List.of(7002), claimedPorts());
  }

  /** Guards against a second change that is forgotten because a query was already in flight. */
  @Test
  void aChangeAnnouncedWhileAQueryIsInFlightIsAskedForAfterIt() {
    endSession();
    pass(BOUND_US);
    records.refreshAll(nowUs);
    assertTrue(records.startQueries(nowUs).contains(LIST));
    Message old = zoneResponse(LIST);
    zone.remove(pointer("one"));
    records.refreshAll(nowUs);
    records.onResponse(nowUs, LIST, old);
    assertTrue(records.startQueries(nowUs).contains(LIST));
    records.onResponse(nowUs, LIST, zoneResponse(LIST));
    applyClaims(records);
    assertEquals(List.of(7002), claimedPorts());
  }

  /** Guards against an instance that an answer restores although its removal was pushed. */
  @Test
  void aRemovalPushedDuringAComparisonStandsAgainstAnOlderAnswer() {
    endSession();
    assertEquals(List.of(LIST), records.startQueries(nowUs));
    Message old = zoneResponse(LIST);
    subscribe();
    zone.remove(pointer("one"));
    records.onRecordRemoved(nowUs, LIST, pointer("one"));
    applyClaims(records);
    assertEquals(List.of(7002), claimedPorts());
    records.onResponse(nowUs, LIST, old);
    pass(BOUND_US);
    assertEquals(List.of(7002), claimedPorts());
  }

  /** Guards against an instance that an older push restores for good after a newer answer. */
  @Test
  void anAnswerNewerThanThePushesIsNotUndone() {
    zone.remove(pointer("one"));
    endSession();
    pass(BOUND_US);
    assertEquals(List.of(7002), claimedPorts());
    for (Question key : List.copyOf(records.subscriptionKeys())) {
      records.onSubscriptionChanged(nowUs, key, true);
    }
    records.onRecordAdded(nowUs, pointer("one"));
    records.onRecordAdded(nowUs, pointer("two"));
    records.onRecordRemoved(nowUs, LIST, pointer("one"));
    applyClaims(records);
    assertEquals(List.of(7002), claimedPorts());
    pass(BOUND_US);
    assertEquals(List.of(7002), claimedPorts());
  }

  /** Guards against a queried server that lags behind the push server and restores an instance. */
  @Test
  void aLaggingServerRestoresNothingThatAPushRemoved() {
    Message old = zoneResponse(LIST);
    zone.remove(pointer("one"));
    records.onRecordRemoved(nowUs, LIST, pointer("one"));
    endSession();
    long endUs = nowUs + 3 * US_PER_SECOND;
    while (nowUs < endUs) {
      for (Question question : records.startQueries(nowUs)) {
        Message response = question.equals(LIST) ? old : zoneResponse(question);
        records.onResponse(nowUs, question, response);
      }
      applyClaims(records);
      assertEquals(List.of(7002), claimedPorts());
      nowUs += STEP_US;
    }
    pass(BOUND_US);
    assertEquals(List.of(7002), claimedPorts());
  }

  /**
   * Guards against a lagging server whose old answer ends the doubt: what the session has not
   * confirmed is compared again once the server's serial changes.
   */
  @Test
  void anUnconfirmedRecordIsComparedAgainWhenTheServerCatchesUp() {
    endSession();
    respondToAll(records);
    nowUs += US_PER_SECOND;
    final Message old = zoneResponse(LIST);
    zone.remove(pointer("one"));
    subscribe();
    nowUs += US_PER_SECOND;
    for (Question question : records.startQueries(nowUs)) {
      records.onResponse(nowUs, question, question.equals(LIST) ? old : zoneResponse(question));
    }
    applyClaims(records);
    assertEquals(List.of(7001, 7002), claimedPorts());
    records.refreshAll(nowUs);
    respondToAll(records);
    assertEquals(List.of(7002), claimedPorts());
  }

  /** Guards against a doubt that ends with the first comparison though the session ended again. */
  @Test
  void aSecondGapDuringTheComparisonIsComparedToo() {
    endSession();
    respondToAll(records);
    nowUs += US_PER_SECOND;
    subscribe();
    endSession();
    zone.remove(pointer("one"));
    pass(2 * US_PER_SECOND);
    assertEquals(List.of(7002), claimedPorts());
  }

  /** Guards against a list that is emptied without evidence, and a doubt that ends with it. */
  @Test
  void failuresAndAnswersWithoutEvidenceRemoveNothing() {
    zone.remove(pointer("one"));
    endSession();
    List<Message> useless = new ArrayList<>();
    for (int rcode : new int[] {Rcode.SERVFAIL, Rcode.REFUSED, Rcode.NXDOMAIN, Rcode.NOERROR}) {
      Message empty = new Message();
      empty.getHeader().setRcode(rcode);
      useless.add(empty);
    }
    Message withoutZone = new Message();
    withoutZone.getHeader().setFlag(Flags.AA);
    useless.add(withoutZone);
    Message truncated = zoneResponse(LIST);
    truncated.getHeader().setFlag(Flags.TC);
    useless.add(truncated);
    Message truncatedToNothing = new Message();
    truncatedToNothing.getHeader().setFlag(Flags.AA);
    truncatedToNothing.getHeader().setFlag(Flags.TC);
    useless.add(truncatedToNothing);
    for (Message answer : useless) {
      nowUs += 2 * US_PER_SECOND;
      assertTrue(records.startQueries(nowUs).contains(LIST), "asked again within two seconds");
      records.onResponse(nowUs, LIST, answer);
      applyClaims(records);
      assertEquals(List.of(7001, 7002), claimedPorts());
    }
    nowUs += 2 * US_PER_SECOND;
    assertTrue(records.startQueries(nowUs).contains(LIST));
    records.onFailure(nowUs, LIST);
    nowUs += 2 * US_PER_SECOND;
    respondToAll(records);
    assertEquals(List.of(7002), claimedPorts());
  }

  /** Guards against claims that never expire after a resolver stopped listing their instance. */
  @Test
  void withoutAuthorityTheClaimsOfAMissingInstanceExpire() {
    zone.remove(pointer("one"));
    endSession();
    records.startQueries(nowUs);
    Message answer = zoneResponse(LIST);
    answer.getHeader().unsetFlag(Flags.AA);
    records.onResponse(nowUs, LIST, answer);
    applyClaims(records);
    assertEquals(List.of(7001, 7002), claimedPorts());
    assertTrue(claims.firstEntry().getValue().expiresUs() <= nowUs + 100 * US_PER_SECOND);
  }

  /** Guards against a server that accepts subscriptions, sends nothing and counts as followed. */
  @Test
  void aSessionThatSendsNothingDoesNotStopThePolls() {
    endSession();
    respondToAll(records);
    for (Question key : List.copyOf(records.subscriptionKeys())) {
      records.onSubscriptionChanged(nowUs, key, true);
    }
    pass(BOUND_US);
    zone.remove(pointer("one"));
    records.refreshAll(nowUs);
    respondToAll(records);
    assertEquals(List.of(7002), claimedPorts());
  }

  /** Guards against work that ends where a withdrawn instance is back before the session. */
  @Test
  void withdrawnAndBackWithinTheGapChangesNothing() {
    endSession();
    respondToAll(records);
    zone.remove(pointer("one"));
    zone.add(pointer("one"));
    zone.change(List.of(srv(7001)), List.of(srv(7003)));
    zone.change(List.of(srv(7003)), List.of(srv(7001)));
    nowUs += US_PER_SECOND;
    subscribe();
    pass(BOUND_US);
    assertEquals(List.of(7001, 7002), claimedPorts());
  }

  /** Guards against queries where nothing has changed: the new session confirms each record. */
  @Test
  void aSessionThatIsReplacedAtOnceCostsOneQueryForTheList() {
    queries.clear();
    endSession();
    respondToAll(records);
    nowUs += US_PER_SECOND;
    subscribe();
    pass(BOUND_US);
    assertEquals(List.of(LIST), queries);
    queries.clear();
    pass(60 * US_PER_SECOND);
    records.refreshAll(nowUs);
    respondToAll(records);
    assertEquals(List.of(), queries, "a followed set is not queried, whatever else changes");
  }

  /** Guards against comparisons that a flapping session multiplies, or puts off for ever. */
  @Test
  void aFlappingSessionComparesEachSetAtMostOncePerInterval() {
    zone.remove(pointer("one"));
    queries.clear();
    int flaps = 40;
    for (int i = 0; i < flaps; i++) {
      endSession();
      pass(US_PER_SECOND / 8);
      for (Question key : List.copyOf(records.subscriptionKeys())) {
        records.onSubscriptionChanged(nowUs, key, true);
      }
      pass(US_PER_SECOND / 8);
    }
    assertEquals(List.of(7002), claimedPorts());
    long seconds = flaps / 4;
    Set<Question> others = Set.copyOf(queries);
    long lists = queries.stream().filter(LIST::equals).count();
    assertTrue(lists <= seconds + 1, lists + " queries for the list");
    long perSet = seconds / 3 + 1;
    assertTrue(queries.size() - lists <= perSet * (others.size() - 1), queries.toString());
    assertTrue(others.size() > 1, "the other sets are compared, too");
  }

  /** Guards against an operator who cannot see what a gap has hidden, or sees one at each start. */
  @Test
  void theReportNamesWhatWasMissedAndWhatStaysInDoubt() {
    DoubtMonitor.Report start = records.drainDoubtReport(nowUs);
    assertEquals(0, start.added() + start.removed() + start.pending());
    assertNull(records.drainDoubtReport(nowUs));
    endSession();
    zone.remove(pointer("one"));
    long lostUs = nowUs;
    nowUs += BOUND_US;
    failAll(records);
    DoubtMonitor.Report inDoubt = records.drainDoubtReport(nowUs);
    assertEquals(new DoubtMonitor.Report(6, 0, 0, nowUs - lostUs, 6), inDoubt);
    assertNull(records.drainDoubtReport(nowUs), "a long period is reported once");
    pass(BOUND_US);
    DoubtMonitor.Report ended = records.drainDoubtReport(nowUs);
    assertEquals(new DoubtMonitor.Report(6, 0, 1, ended.durationUs(), 0), ended);
  }

  /** Guards against saved claims that are withdrawn by a list of which only a part was pushed. */
  @Test
  void savedClaimsOutliveAnIncompleteList() {
    ServiceRecords started = browse(LIST.name());
    claims.clear();
    started.restore(List.of("one._calendar._tcp.example.org.|h.:9|0"));
    started.startQueries(nowUs);
    started.onSubscriptionChanged(nowUs, LIST, true);
    started.onRecordAdded(nowUs, pointer("two"));
    ServiceRecords.ClaimUpdate update = started.drainClaims(nowUs);
    assertEquals(List.of(), update.claims());
    assertEquals(false, update.snapshot());
  }

  /** Guards against saved claims that are withdrawn by a list that is no evidence of absence. */
  @ParameterizedTest
  @ValueSource(ints = {Flags.TC, Flags.AA})
  void savedClaimsOutliveAListThatIsTruncatedOrWithoutAuthority(int flag) {
    ServiceRecords started = browse(LIST.name());
    claims.clear();
    started.restore(List.of("one._calendar._tcp.example.org.|h.:9|0"));
    zone.remove(pointer("one"));
    List<Question> due = started.startQueries(nowUs);
    while (!due.isEmpty()) {
      for (Question question : due) {
        Message answer = zoneResponse(question);
        if (flag == Flags.TC) {
          answer.getHeader().setFlag(flag);
        } else {
          answer.getHeader().unsetFlag(flag);
        }
        started.onResponse(nowUs, question, answer);
      }
      ServiceRecords.ClaimUpdate update = started.drainClaims(nowUs);
      assertEquals(false, update.snapshot());
      assertTrue(update.claims().stream().allMatch(claim -> claim.endpoint() != null));
      due = started.startQueries(nowUs);
    }
    started.refreshAll(nowUs);
    respondToAll(started);
    assertTrue(snapshotReceived, "an authoritative list settles the saved claims");
  }
}

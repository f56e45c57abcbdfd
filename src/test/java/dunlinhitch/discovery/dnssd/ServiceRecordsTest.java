package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.dns.Zone;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** Claims that are derived from records, and the times of the queries for those records. */
class ServiceRecordsTest extends AbstractServiceRecordsTest {
  private static final Name HOST = Names.parse("host-127-0-0-1.example.org.");
  private static final Name ALIAS = Names.parse("alias.example.org.");

  /** Claim keys as the endpoint list file stores them. */
  private static final String STORED_KEY_OF_UNLISTED = "gone._calendar._tcp.example.org.|h.:1|0";

  private static final String STORED_KEY_OF_LISTED = "one._calendar._tcp.example.org.|h.:9|0";

  @Test
  void onlySrvRecordsWithTheLowestPriorityValueAreUsed() {
    zone.change(List.of(), endpoint("one", 7001));
    Name one = Names.parse("one." + SERVICE);
    zone.add(new SRVRecord(one, DClass.IN, 100, 5, 0, 7002, HOST));
    respondToAll(records);
    assertEquals(List.of(7001), claimedPorts());
    assertTrue(snapshotReceived, "snapshot is emitted once all listed instances are known");
    zone.add(new SRVRecord(one, DClass.IN, 100, 0, 9, 7003, HOST));
    records.refreshAll(nowUs);
    respondToAll(records);
    assertEquals(
        List.of(7001, 7003), claimedPorts(), "SRV records of equal priority each become a claim");
    zone.add(new TXTRecord(one, DClass.IN, 100, List.of("id=one", "cell=2", "zone=a")));
    records.refreshAll(nowUs);
    respondToAll(records);
    assertEquals(4, claims.size(), "one claim for each combination of SRV and TXT records");
  }

  @Test
  void setsAreRefreshedBeforeTheyExpireAndFailedQueriesBackOff() {
    zone.change(List.of(), endpoint("one", 7001));
    respondToAll(records);
    queries.clear();
    nowUs += 79 * US_PER_SECOND;
    respondToAll(records);
    assertEquals(List.of(), queries);
    nowUs += 12 * US_PER_SECOND;
    respondToAll(records);
    assertEquals(
        Set.of(Type.PTR, Type.SRV, Type.TXT, Type.A),
        Set.copyOf(queries.stream().map(Question::type).toList()));
    long expiresUs = claims.firstEntry().getValue().expiresUs();
    assertTrue(expiresUs >= nowUs + 99 * US_PER_SECOND, "a refresh extends the expiry");
    nowUs += 91 * US_PER_SECOND;
    failAll(records);
    applyClaims(records);
    assertEquals(1, claims.size(), "failed queries do not change claims");
    assertBackoffGrowsUpToItsMaximum(browse(Names.parse(SERVICE)));
  }

  private void assertBackoffGrowsUpToItsMaximum(ServiceRecords unanswered) {
    long previousDelayUs = 0;
    List<Question> due = unanswered.startQueries(nowUs);
    for (int i = 0; i < 12; i++) {
      long failedUs = nowUs;
      unanswered.onFailure(nowUs, due.get(0));
      due = unanswered.startQueries(nowUs);
      while (due.isEmpty()) {
        nowUs = unanswered.nextUs();
        due = unanswered.startQueries(nowUs);
      }
      long delayUs = nowUs - failedUs;
      assertTrue(
          delayUs > previousDelayUs || delayUs > 20 * US_PER_SECOND, "the delay does not grow");
      assertTrue(delayUs < 40 * US_PER_SECOND, "the delay exceeds its bound");
      previousDelayUs = delayUs;
    }
  }

  @Test
  void onlyAuthoritativeAnswersWithdraw() {
    zone.change(List.of(), endpoint("one", 7001));
    zone.change(List.of(), endpoint("two", 7002));
    respondToAll(records);
    assertEquals(2, claims.size());
    zone.remove(Zone.pointer(SERVICE, "one", 100));
    records.refreshAll(nowUs);
    Question listQuery = records.startQueries(nowUs).get(0);
    Message response = zoneResponse(listQuery);
    response.getHeader().unsetFlag(Flags.AA);
    records.onResponse(nowUs, listQuery, response);
    applyClaims(records);
    assertEquals(2, claims.size(), "a non-authoritative answer does not withdraw claims");
    zone.empty();
    nowUs += 200 * US_PER_SECOND;
    for (Question question : records.startQueries(nowUs)) {
      Message negative = zoneResponse(question);
      assertEquals(Rcode.NXDOMAIN, negative.getRcode());
      negative.getHeader().unsetFlag(Flags.AA);
      records.onResponse(nowUs, question, negative);
    }
    applyClaims(records);
    assertEquals(2, claims.size());
    assertTrue(records.drainFaults().containsKey(AnswerFault.NOT_AUTHORITATIVE));
    nowUs += 60 * US_PER_SECOND;
    respondToAll(records);
    assertEquals(List.of(), claims.keySet().stream().filter(key -> key.startsWith("two")).toList());
  }

  @Test
  void storedClaimsOfUnlistedInstancesAreWithdrawn() {
    zone.change(List.of(), endpoint("one", 7001));
    List<String> withdrawn = new ArrayList<>();
    records.restore(List.of(STORED_KEY_OF_UNLISTED, STORED_KEY_OF_LISTED));
    List<Question> due = records.startQueries(nowUs);
    while (!due.isEmpty()) {
      due.forEach(question -> records.onResponse(nowUs, question, zoneResponse(question)));
      records.drainClaims(nowUs).claims().stream()
          .filter(claim -> claim.endpoint() == null)
          .forEach(claim -> withdrawn.add(claim.key()));
      due = records.startQueries(nowUs);
    }
    assertTrue(withdrawn.contains(STORED_KEY_OF_UNLISTED), withdrawn.toString());
  }

  /**
   * Claim keys are persisted, so later versions must derive the same keys from the same records.
   */
  @Test
  void claimKeysHaveTheStoredForm() {
    zone.change(List.of(), endpoint("One", 7001));
    respondToAll(records);
    assertEquals(
        Set.of("one._calendar._tcp.example.org.|host-127-0-0-1.example.org.:7001|0"),
        claims.keySet());
  }

  @Test
  void namesLimitsAliasesAndSubtypes() {
    assertEquals(
        "Saal 2. Süd", Names.instanceLabel(Names.parse("Saal\\0322\\.\\032Süd." + SERVICE)));
    Name subtype = Names.subtype("amman", Names.parse(SERVICE));
    assertEquals("_amman._sub." + SERVICE, subtype.toString());
    zone.change(List.of(), endpoint("one", 7001));
    zone.change(List.of(), endpoint("other", 7002));
    zone.add(new PTRRecord(subtype, DClass.IN, 100, Names.parse("one." + SERVICE)));
    respondToAll(browse(subtype));
    assertEquals(List.of(7001), claimedPorts());
    claims.clear();
    addEndpointWithAliasedHost();
    zone.change(List.of(), endpoint("fourth", 7004));
    respondWithAlias();
    assertEquals(3, claims.size(), "the instance limit is reached");
    assertTrue(claimedPorts().contains(7003));
    assertTrue(records.drainFaults().containsKey(AnswerFault.INSTANCE_LIMIT));
    records.refreshAll(nowUs);
    records.startQueries(nowUs);
    Message aliasLoop = new Message();
    aliasLoop.getHeader().setFlag(Flags.AA);
    aliasLoop.addRecord(new CNAMERecord(ALIAS, DClass.IN, 100, ALIAS), Section.ANSWER);
    failAll(records);
    records.onResponse(nowUs, new Question(ALIAS, Type.A), aliasLoop);
    applyClaims(records);
    assertEquals(3, claims.size());
  }

  private void addEndpointWithAliasedHost() {
    List<Record> third = new ArrayList<>(endpoint("third", 7003));
    Name instance = Names.parse("third." + SERVICE);
    third.set(1, new SRVRecord(instance, DClass.IN, 100, 0, 0, 7003, ALIAS));
    zone.change(List.of(), third);
  }

  /** Like {@link #respondToAll}, but answers queries for the alias with a CNAME and its target. */
  private void respondWithAlias() {
    List<Question> due = records.startQueries(nowUs);
    while (!due.isEmpty()) {
      for (Question question : due) {
        Message response =
            question.name().equals(ALIAS) ? aliasResponse(question) : zoneResponse(question);
        records.onResponse(nowUs, question, response);
      }
      applyClaims(records);
      due = records.startQueries(nowUs);
    }
  }

  private Message aliasResponse(Question question) {
    Message response = new Message(zoneResponse(question).getHeader().getID());
    response.getHeader().setFlag(Flags.AA);
    response.addRecord(new CNAMERecord(ALIAS, DClass.IN, 100, HOST), Section.ANSWER);
    for (Record record : zone.get(new Question(HOST, question.type()))) {
      response.addRecord(record, Section.ANSWER);
    }
    return response;
  }
}

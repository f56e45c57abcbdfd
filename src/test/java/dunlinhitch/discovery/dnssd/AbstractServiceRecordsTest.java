package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.experiments.dns.Zone;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/**
 * Base of tests that answer the queries of {@link ServiceRecords} from a test zone, without
 * sockets, and check the resulting claims.
 */
abstract class AbstractServiceRecordsTest {
  static final String SERVICE = "_calendar._tcp.example.org.";
  static final long US_PER_SECOND = 1_000_000;

  /** Allows 3 instances and 2 queries in flight. */
  private static final ServiceRecords.Limits LIMITS = new ServiceRecords.Limits(3, 2);

  final Zone zone = new Zone("example.org.");
  final List<Question> queries = new ArrayList<>();
  final TreeMap<String, EndpointClaim> claims = new TreeMap<>();
  long nowUs = 1_000 * US_PER_SECOND;
  boolean snapshotReceived;
  final ServiceRecords records = browse(Names.parse(SERVICE));

  final ServiceRecords browse(Name... browsedNames) {
    return new ServiceRecords(
        List.of(browsedNames),
        new TxtRecordParser(new EndpointListReader(List.of("a"), event -> {})),
        LIMITS,
        new SplittableRandom(3),
        nowUs);
  }

  /** Returns the PTR, SRV, TXT and address records of one endpoint. */
  static List<Record> endpoint(String instance, int port, String... moreAttributes) {
    List<String> attributes = new ArrayList<>(List.of("id=" + instance, "cell=1", "zone=a"));
    attributes.addAll(List.of(moreAttributes));
    return Zone.store(SERVICE, instance, "127.0.0.1", port, 100, attributes.toArray(String[]::new));
  }

  final void applyClaims(ServiceRecords source) {
    ServiceRecords.ClaimUpdate update = source.drainClaims(nowUs);
    snapshotReceived |= update.snapshot();
    for (EndpointClaim claim : update.claims()) {
      if (claim.endpoint() == null) {
        claims.remove(claim.key());
      } else {
        claims.put(claim.key(), claim);
      }
    }
  }

  /** Answers every due query from the zone until none is left. */
  final void respondToAll(ServiceRecords source) {
    List<Question> due = source.startQueries(nowUs);
    while (!due.isEmpty()) {
      assertTrue(due.size() <= LIMITS.maxQueriesInFlight(), "too many queries in flight");
      assertEquals(
          due.size(),
          new HashSet<>(due).size(),
          "more than one query in flight for a name and type");
      for (Question question : due) {
        queries.add(question);
        Message response = zoneResponse(question);
        response.removeAllRecords(Section.ADDITIONAL);
        source.onResponse(nowUs, question, response);
      }
      applyClaims(source);
      due = source.startQueries(nowUs);
    }
  }

  /** Fails every due query until none is left. */
  final void failAll(ServiceRecords source) {
    List<Question> due = source.startQueries(nowUs);
    while (!due.isEmpty()) {
      due.forEach(question -> source.onFailure(nowUs, question));
      due = source.startQueries(nowUs);
    }
  }

  final Message zoneResponse(Question question) {
    return zone.answer(Message.newQuery(question.record()));
  }

  final List<Integer> claimedPorts() {
    return claims.values().stream().map(claim -> claim.endpoint().port()).sorted().toList();
  }
}

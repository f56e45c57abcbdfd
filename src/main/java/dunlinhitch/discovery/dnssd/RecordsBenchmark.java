package dunlinhitch.discovery.dnssd;

import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.EndpointClaim;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * Drives {@link ServiceRecords} without sockets, for benchmarks. An in-memory table replaces the
 * DNS server: it responds immediately and pushes changes.
 */
public final class RecordsBenchmark {
  private static final Name SERVICE = Names.parse("_calendar._tcp.rooms.example.org.");
  private static final Question POINTERS = new Question(SERVICE, Type.PTR);
  private static final ServiceRecords.Limits LIMITS = new ServiceRecords.Limits(50_000, 1_000);

  /** The current time that {@link #refresh} assumes, in microseconds. The value is arbitrary. */
  private static final long REFRESH_US = 1_000_000;

  private final ServiceRecords records;
  private final Map<Question, List<Record>> zone = new LinkedHashMap<>();
  private final List<Record> pointers = new ArrayList<>();
  private long responseBytes;

  /** Creates a benchmark; the seed determines the jitter of the refreshes. */
  public RecordsBenchmark(EndpointListReader reader, long seed) {
    records =
        new ServiceRecords(
            List.of(SERVICE), new TxtRecordParser(reader), LIMITS, new SplittableRandom(seed), 0);
  }

  /**
   * Discovers the endpoints that these records describe and subscribes to the records; returns the
   * claims in the order in which they were emitted.
   */
  public List<EndpointClaim> fill(long nowUs, List<List<Record>> endpointRecords) throws Exception {
    endpointRecords.forEach(described -> described.forEach(this::addToZone));
    List<EndpointClaim> claims = new ArrayList<>();
    // A TCP response holds only about two thousand PTR records. Therefore only the first PTR record
    // is sent in a response, and the others are pushed.
    respondToAll(nowUs, claims);
    pointers.forEach(pointer -> records.onRecordAdded(nowUs, pointer));
    int claimsBefore;
    do {
      claimsBefore = claims.size();
      respondToAll(nowUs, claims);
    } while (claims.size() > claimsBefore);
    List.copyOf(records.subscriptionKeys())
        .forEach(key -> records.onSubscriptionChanged(nowUs, key, true));
    pointers.forEach(pointer -> records.onRecordAdded(nowUs, pointer));
    zone.values().forEach(set -> set.forEach(record -> records.onRecordAdded(nowUs, record)));
    records.drainClaims(nowUs);
    return claims;
  }

  private void addToZone(Record record) {
    if (record.getType() == Type.PTR) {
      pointers.add(record);
      return;
    }
    Question key = new Question(record.getName(), record.getType());
    List<Record> set = zone.computeIfAbsent(key, absent -> new ArrayList<>());
    if (!set.contains(record)) {
      set.add(record);
    }
  }

  private void respondToAll(long nowUs, List<EndpointClaim> claims) throws IOException {
    List<Question> queries = records.startQueries(nowUs);
    while (!queries.isEmpty()) {
      for (Question question : queries) {
        respond(nowUs, question);
      }
      claims.addAll(records.drainClaims(nowUs).claims());
      queries = records.startQueries(nowUs);
    }
  }

  private void respond(long nowUs, Question question) throws IOException {
    Message response = Message.newQuery(question.record());
    response.getHeader().setFlag(Flags.QR);
    response.getHeader().setFlag(Flags.AA);
    List<Record> answer =
        question.type() == Type.PTR
            ? pointers.subList(0, Math.min(1, pointers.size()))
            : zone.getOrDefault(question, List.of());
    answer.forEach(record -> response.addRecord(record, Section.ANSWER));
    byte[] wire = response.toWire(DnsTcpFraming.MAX_MESSAGE_BYTES);
    responseBytes += wire.length;
    records.onResponse(nowUs, question, new Message(wire));
  }

  /**
   * Pushes the removal of one endpoint's PTR record, or its addition if {@code added} is true;
   * returns the resulting claims.
   */
  public List<EndpointClaim> pushPointerChange(long nowUs, int index, boolean added)
      throws Exception {
    Record pointer = pointers.get(index);
    if (added) {
      records.onRecordAdded(nowUs, pointer);
    } else {
      records.onRecordRemoved(nowUs, POINTERS, pointer);
    }
    List<EndpointClaim> claims = new ArrayList<>(records.drainClaims(nowUs).claims());
    respondToAll(nowUs, claims);
    return claims;
  }

  /**
   * Queries all records of these endpoints once; returns the total size of the responses in bytes.
   */
  public static long refresh(List<List<Record>> endpointRecords, long seed) throws Exception {
    EndpointListReader reader = new EndpointListReader(List.of("a"), event -> {});
    RecordsBenchmark measured = new RecordsBenchmark(reader, seed);
    measured.fill(REFRESH_US, endpointRecords);
    return measured.responseBytes;
  }
}

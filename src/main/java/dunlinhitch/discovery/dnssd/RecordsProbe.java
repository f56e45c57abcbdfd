package dunlinhitch.discovery.dnssd;

import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.EndpointClaim;
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
 * Records without sockets, for measurements: every question is answered at once, from a table, by a
 * server that pushes.
 */
public final class RecordsProbe {
  private static final Name SERVICE = Names.parse("_calendar._tcp.rooms.example.org.");
  private final Records records;
  private final Map<Question, List<Record>> table = new LinkedHashMap<>();
  private final List<Record> pointers = new ArrayList<>();
  private long bytes;

  public RecordsProbe(EndpointListReader reader, long seed) {
    records =
        new Records(
            List.of(SERVICE),
            new TxtReader(reader),
            new Records.Bounds(50_000, 1_000),
            new SplittableRandom(seed),
            0);
  }

  /**
   * The records of these stores come in, and are followed from then on; the claims that they make.
   */
  public List<EndpointClaim> fill(long now, List<List<Record>> stores) throws Exception {
    stores.forEach(
        store ->
            store.forEach(
                record -> {
                  if (record.getType() == Type.PTR) {
                    pointers.add(record);
                  } else {
                    List<Record> set =
                        table.computeIfAbsent(
                            new Question(record.getName(), record.getType()),
                            k -> new ArrayList<>());
                    if (!set.contains(record)) {
                      set.add(record);
                    }
                  }
                }));
    List<EndpointClaim> claims = new ArrayList<>();
    // an answer over TCP holds some two thousand pointers: the first comes as an answer, the rest
    // as pushes do
    answer(now, claims);
    pointers.forEach(pointer -> records.added(now, pointer));
    for (boolean more = true; more; ) {
      int before = claims.size();
      answer(now, claims);
      more = claims.size() > before;
    }
    List.copyOf(records.wanted()).forEach(key -> records.followed(now, key, true));
    records.news(now);
    return claims;
  }

  private void answer(long now, List<EndpointClaim> claims) throws Exception {
    for (List<Question> due = records.due(now); !due.isEmpty(); due = records.due(now)) {
      for (Question question : due) {
        Message query = Message.newQuery(question.record());
        query.getHeader().setFlag(Flags.QR);
        query.getHeader().setFlag(Flags.AA);
        List<Record> set =
            question.type() == Type.PTR
                ? pointers.subList(0, Math.min(1, pointers.size()))
                : table.getOrDefault(question, List.of());
        set.forEach(record -> query.addRecord(record, Section.ANSWER));
        byte[] wire = query.toWire(65_535);
        bytes += wire.length;
        records.answered(now, question, new Message(wire));
      }
      claims.addAll(records.news(now).claims());
    }
  }

  /** The pointer of that store is pushed away, or back; what follows for the roster. */
  public List<EndpointClaim> flip(long now, int store, boolean back) throws Exception {
    Record pointer = pointers.get(store);
    if (back) {
      records.added(now, pointer);
    } else {
      records.removed(now, new Question(SERVICE, Type.PTR), pointer);
    }
    List<EndpointClaim> claims = new ArrayList<>(records.news(now).claims());
    answer(now, claims);
    return claims;
  }

  /** Everything is asked for and answered once more; the bytes of the answers. */
  public static long refresh(List<List<Record>> stores, long seed) throws Exception {
    RecordsProbe probe = new RecordsProbe(new EndpointListReader(List.of("a"), e -> {}), seed);
    probe.fill(1_000_000, stores);
    return probe.bytes;
  }
}

package dunlinhitch.discovery.dnssd;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Groups the records of one response by name and type, and computes their lifetimes. */
final class ResponseRecords {
  /** Lower bound applied to the TTLs received from a server. */
  static final long MIN_TTL_US = 1_000_000;

  /** Upper bound applied to the TTLs received from a server: one day. */
  static final long MAX_TTL_US = 86_400_000_000L;

  /** Lifetime of a negative answer without an SOA record. */
  private static final long DEFAULT_NEGATIVE_TTL_US = 5_000_000;

  private static final long MAX_NEGATIVE_TTL_US = 60_000_000;
  private static final long US_PER_SECOND = 1_000_000;
  private static final int MAX_ALIASES = 8;
  private static final int[] SECTIONS = {Section.ANSWER, Section.ADDITIONAL};

  private final Map<Question, List<Record>> byKey = new LinkedHashMap<>();

  /** Collects the records of class IN from the answer and additional sections. */
  ResponseRecords(Message response) {
    for (int section : SECTIONS) {
      for (Record record : response.getSection(section)) {
        if (isData(record)) {
          add(record);
        }
      }
    }
  }

  private static boolean isData(Record record) {
    return record.getDClass() == DClass.IN
        && record.getType() != Type.OPT
        && record.getType() != Type.TSIG;
  }

  private void add(Record record) {
    Question key = new Question(record.getName(), record.getType());
    List<Record> records = byKey.computeIfAbsent(key, absent -> new ArrayList<>());
    if (!records.contains(record)) {
      records.add(record);
    }
  }

  /** Returns all record sets in the order of the response. */
  Map<Question, List<Record>> byKey() {
    return byKey;
  }

  /**
   * Returns the records that answer the question, following CNAME aliases: an empty list if there
   * are none, or null if a CNAME chain loops or ends at a name without records.
   */
  List<Record> resolve(Question question) {
    Name name = question.name();
    for (int aliases = 0; aliases <= MAX_ALIASES; aliases++) {
      List<Record> records = byKey.get(new Question(name, question.type()));
      if (records != null) {
        return records;
      }
      List<Record> alias = byKey.get(new Question(name, Type.CNAME));
      if (alias == null) {
        return aliases == 0 ? List.of() : null;
      }
      name = ((CNAMERecord) alias.get(0)).getTarget();
    }
    return null;
  }

  /** Returns the lowest TTL of the records, clamped to the bounds. */
  static long ttlUs(List<Record> records) {
    long lowestS = records.stream().mapToLong(Record::getTTL).min().orElse(0);
    return Math.max(MIN_TTL_US, Math.min(MAX_TTL_US, lowestS * US_PER_SECOND));
  }

  /**
   * Returns true if the authority section names the zone of a negative answer by its SOA record.
   */
  static boolean hasZone(Message response) {
    return response.getSection(Section.AUTHORITY).stream().anyMatch(SOARecord.class::isInstance);
  }

  /** Returns the lifetime of a negative answer, from the zone's SOA record (RFC 2308 section 5). */
  static long negativeTtlUs(Message response) {
    for (Record record : response.getSection(Section.AUTHORITY)) {
      if (record instanceof SOARecord soa) {
        long ttlUs = Math.min(soa.getTTL(), soa.getMinimum()) * US_PER_SECOND;
        return Math.max(MIN_TTL_US, Math.min(MAX_NEGATIVE_TTL_US, ttlUs));
      }
    }
    return DEFAULT_NEGATIVE_TTL_US;
  }
}

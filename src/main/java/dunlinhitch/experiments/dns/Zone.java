package dunlinhitch.experiments.dns;

import dunlinhitch.discovery.dnssd.Dso.PushChange;
import dunlinhitch.discovery.dnssd.Names;
import dunlinhitch.discovery.dnssd.Question;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xbill.DNS.ARecord;
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
import org.xbill.DNS.TSIG;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** The records of one authoritative DNS zone, its serial and its change listeners. Thread-safe. */
public final class Zone {
  private final Name origin;
  private final Map<Question, Set<Record>> recordSets = new HashMap<>();
  private final List<Consumer<List<PushChange>>> listeners = new ArrayList<>();
  private long serial = 1;
  private TSIG updateKey;

  /** Longest lease granted to an update, in seconds. */
  private long maxLeaseS = 3600;

  /** Creates an empty zone. */
  public Zone(String origin) {
    this.origin = Names.parse(origin);
  }

  /** The apex of the zone. */
  public Name origin() {
    return origin;
  }

  /** Returns the serial, which increases with each change. */
  public synchronized long serial() {
    return serial;
  }

  /**
   * Enables updates that are signed by this key; the response grants a lease of {@code
   * maxLeaseSeconds}.
   */
  public synchronized void updatesBy(TSIG key, long maxLeaseSeconds) {
    updateKey = key;
    maxLeaseS = maxLeaseSeconds;
  }

  /**
   * Registers a listener. The listener receives each later change as one list, on the thread that
   * makes the change.
   */
  public synchronized void listen(Consumer<List<PushChange>> listener) {
    listeners.add(listener);
  }

  /** Removes a listener. */
  public synchronized void unlisten(Consumer<List<PushChange>> listener) {
    listeners.remove(listener);
  }

  /** Returns the records of a name and type; the list is empty if there are none. */
  public synchronized List<Record> get(Question key) {
    return List.copyOf(recordSets.getOrDefault(key, Set.of()));
  }

  /** Returns the names and types of all record sets. */
  public synchronized List<Question> keys() {
    return List.copyOf(recordSets.keySet());
  }

  private synchronized boolean exists(Name name) {
    return recordSets.keySet().stream()
        .anyMatch(key -> key.name().equals(name) || key.name().subdomain(name));
  }

  /** Removes and adds records atomically, as one change of the zone with one new serial. */
  public synchronized void change(List<Record> removed, List<Record> added) {
    List<PushChange> changes = new ArrayList<>();
    for (Record record : removed) {
      Question key = new Question(record.getName(), record.getType());
      Set<Record> set = recordSets.getOrDefault(key, Set.of());
      if (set.remove(record)) {
        changes.add(new PushChange(true, key, record));
      }
      if (set.isEmpty()) {
        recordSets.remove(key);
      }
    }
    for (Record record : added) {
      Question key = new Question(record.getName(), record.getType());
      Set<Record> set = recordSets.computeIfAbsent(key, k -> new LinkedHashSet<>());
      set.remove(record);
      set.add(record);
      changes.add(new PushChange(false, key, record));
    }
    if (!changes.isEmpty()) {
      serial++;
      List.copyOf(listeners).forEach(listener -> listener.accept(changes));
    }
  }

  /** Adds records. */
  public void add(Record... records) {
    change(List.of(), List.of(records));
  }

  /** Removes records. */
  public void remove(Record... records) {
    change(List.of(records), List.of());
  }

  /** Returns the records of a name and type; type 255 (ANY) selects the records of all types. */
  public synchronized List<Record> all(Name name, int type) {
    return recordSets.entrySet().stream()
        .filter(
            e -> e.getKey().name().equals(name) && (type == Type.ANY || e.getKey().type() == type))
        .flatMap(e -> e.getValue().stream())
        .toList();
  }

  /** Removes all records. */
  public synchronized void empty() {
    change(recordSets.values().stream().flatMap(Set::stream).toList(), List.of());
  }

  /** Returns the DNS-SD records of a store: PTR, SRV, TXT and A. */
  public static List<Record> store(
      String service, String instance, String host, int port, long ttlS, String... attributes) {
    Name type = Names.parse(service);
    Name name = Names.parse(instance + "." + service);
    Name target =
        Names.parse("host-" + host.replaceAll("[^0-9a-z]", "-") + "." + Names.domain(type));
    try {
      return List.of(
          new PTRRecord(type, DClass.IN, ttlS, name),
          new SRVRecord(name, DClass.IN, ttlS, 0, 0, port, target),
          new TXTRecord(name, DClass.IN, ttlS, List.of(attributes)),
          new ARecord(target, DClass.IN, ttlS, InetAddress.getByName(host)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Returns the PTR record of a store; removing this record from the zone withdraws the store. */
  public static Record pointer(String service, String instance, long ttlS) {
    return new PTRRecord(
        Names.parse(service), DClass.IN, ttlS, Names.parse(instance + "." + service));
  }

  private SOARecord soa() {
    return new SOARecord(
        origin,
        DClass.IN,
        60,
        Names.parse("ns." + origin),
        Names.parse("hostmaster." + origin),
        serial,
        3600,
        600,
        86_400,
        5);
  }

  /** Returns the authoritative answer to a query; the message size is not limited. */
  public synchronized Message answer(Message query) {
    Message answer = new Message(query.getHeader().getID());
    answer.getHeader().setFlag(Flags.QR);
    answer.getHeader().setOpcode(query.getHeader().getOpcode());
    Record question = query.getQuestion();
    answer.addRecord(question, Section.QUESTION);
    if (!question.getName().subdomain(origin)) {
      answer.getHeader().setRcode(Rcode.REFUSED);
      return answer;
    }
    answer.getHeader().setFlag(Flags.AA);
    if (question.getType() == Type.SOA && question.getName().equals(origin)) {
      answer.addRecord(soa(), Section.ANSWER);
      return answer;
    }
    List<Record> found = get(new Question(question.getName(), question.getType()));
    found.forEach(record -> answer.addRecord(record, Section.ANSWER));
    if (found.isEmpty()) {
      answer.getHeader().setRcode(exists(question.getName()) ? Rcode.NOERROR : Rcode.NXDOMAIN);
      answer.addRecord(soa(), Section.AUTHORITY);
    }
    // RFC 6763, section 12.1: an answer with PTR records also contains the SRV, TXT and address
    // records of the instances.
    if (question.getType() == Type.PTR) {
      Set<Record> additional = new LinkedHashSet<>();
      for (Record pointer : found) {
        Name instance = ((PTRRecord) pointer).getTarget();
        List<Record> srv = get(new Question(instance, Type.SRV));
        additional.addAll(srv);
        additional.addAll(get(new Question(instance, Type.TXT)));
        srv.forEach(s -> additional.addAll(get(new Question(((SRVRecord) s).getTarget(), Type.A))));
      }
      additional.forEach(record -> answer.addRecord(record, Section.ADDITIONAL));
    }
    return answer;
  }

  /** Applies a signed update (RFC 2136) and returns the response with the granted lease. */
  public synchronized Message update(Message update, byte[] wire) {
    Message answer = new Message(update.getHeader().getID());
    answer.getHeader().setFlag(Flags.QR);
    answer.getHeader().setOpcode(update.getHeader().getOpcode());
    answer.addRecord(update.getQuestion(), Section.QUESTION);
    if (updateKey == null
        || update.getTSIG() == null
        || updateKey.verify(update, wire, null) != Rcode.NOERROR) {
      answer.getHeader().setRcode(Rcode.NOTAUTH);
      return answer;
    }
    List<Record> removed = new ArrayList<>();
    List<Record> added = new ArrayList<>();
    for (Record record : update.getSection(Section.UPDATE)) {
      if (record.getDClass() == DClass.ANY) {
        removed.addAll(all(record.getName(), record.getType()));
      } else if (record.getDClass() == DClass.NONE) {
        all(record.getName(), record.getType()).stream()
            .filter(present -> present.rdataToString().equals(record.rdataToString()))
            .forEach(removed::add);
      } else {
        added.add(record);
      }
    }
    change(removed, added);
    if (update.getOPT() != null) {
      answer.addRecord(
          new org.xbill.DNS.OPTRecord(
              1232,
              0,
              0,
              0,
              List.of(
                  new org.xbill.DNS.GenericEDNSOption(
                      2,
                      io.vertx.core.buffer.Buffer.buffer()
                          .appendUnsignedInt(maxLeaseS)
                          .getBytes()))),
          Section.ADDITIONAL);
    }
    answer.setTSIG(updateKey, Rcode.NOERROR, update.getTSIG());
    return answer;
  }
}

package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.xbill.DNS.Record;

/**
 * All records of one name and type, with their lifetime and the state of the query for them. Owned
 * and modified by {@link RecordCache} only.
 */
final class RecordSet {
  final Question key;
  List<Record> records = List.of();

  /** True once an answer, possibly a negative one, has been received. */
  boolean answered;

  /** True while a query is in flight. */
  boolean querying;

  /** Failed queries since the last usable answer. */
  int failures;

  long ttlUs;
  long expiresUs;

  /**
   * True while a push session is subscribed to the set. A subscribed set does not expire and is not
   * refreshed.
   */
  boolean subscribed;

  /** Timer of the next refresh or retry. */
  TimingWheel.Handle<RecordSet> timer;

  /**
   * Instances whose claims depend on this set. A set without dependents is evicted, unless it is a
   * PTR set.
   */
  final Set<ServiceInstance> dependents = new LinkedHashSet<>();

  RecordSet(Question key) {
    this.key = key;
  }

  /** Returns true if the server answered that no such record exists. */
  boolean isNegative() {
    return answered && records.isEmpty();
  }
}

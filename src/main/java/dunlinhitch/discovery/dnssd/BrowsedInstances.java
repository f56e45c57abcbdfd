package dunlinhitch.discovery.dnssd;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * Tracks the instances listed by the PTR records of the browsed names, and marks the instances
 * whose claims must be recomputed. Owned by {@link ServiceRecords}.
 */
final class BrowsedInstances {
  private final RecordCache cache;
  private final int maxInstances;
  private final Consumer<AnswerFault> faults;
  private final Map<Name, ServiceInstance> instances = new LinkedHashMap<>();
  private final Set<ServiceInstance> changed = new LinkedHashSet<>();

  BrowsedInstances(RecordCache cache, int maxInstances, Consumer<AnswerFault> faults) {
    this.cache = cache;
    this.maxInstances = maxInstances;
    this.faults = faults;
  }

  /** Returns all listed instances, in the order in which they were first listed. */
  Collection<ServiceInstance> all() {
    return instances.values();
  }

  /** Marks these instances for recomputation of their claims. */
  void markChanged(Collection<ServiceInstance> affected) {
    changed.addAll(affected);
  }

  /** Returns the instances marked for recomputation, and clears the marks. */
  List<ServiceInstance> drainChanged() {
    List<ServiceInstance> drained = List.copyOf(changed);
    changed.clear();
    return drained;
  }

  /**
   * Applies a new answer for a PTR set: adds the instances that it lists and removes those whose
   * records were {@code removed}. Only an authoritative answer withdraws the claims of a removed
   * instance; otherwise they expire.
   */
  void onPointers(RecordSet pointers, List<Record> removed, boolean authoritative, long nowUs) {
    Name browsedName = pointers.key.name();
    pointers.records().forEach(record -> add(browsedName, targetOf(record)));
    for (Record record : removed) {
      ServiceInstance instance = instances.get(targetOf(record));
      if (instance != null) {
        instance.lapseUs = authoritative ? instance.lapseUs : nowUs + pointers.ttlUs();
        removePointer(browsedName, instance, authoritative);
      }
    }
  }

  private static Name targetOf(Record record) {
    return ((PTRRecord) record).getTarget();
  }

  /** Adds an instance that a PTR record lists; returns false if the instance limit is reached. */
  boolean add(Name browsedName, Name name) {
    if (!instances.containsKey(name) && instances.size() >= maxInstances) {
      faults.accept(AnswerFault.INSTANCE_LIMIT);
      return false;
    }
    ServiceInstance instance = instances.computeIfAbsent(name, ServiceInstance::new);
    instance.browsedNames.add(browsedName);
    instance.withdrawn = false;
    if (instance.srv == null) {
      instance.srv = cache.acquire(instance, new Question(name, Type.SRV));
      instance.txt = cache.acquire(instance, new Question(name, Type.TXT));
      changed.add(instance);
    }
    return true;
  }

  /** Handles the pushed removal of a PTR record. */
  void onPointerRemoved(Name browsedName, Record record) {
    ServiceInstance instance = instances.get(targetOf(record));
    if (instance != null) {
      removePointer(browsedName, instance, true);
    }
  }

  private void removePointer(Name browsedName, ServiceInstance instance, boolean authoritative) {
    if (instance.browsedNames.remove(browsedName) && instance.browsedNames.isEmpty()) {
      remove(instance, authoritative);
    }
  }

  /**
   * Removes an instance that no browsed name lists. After a non-authoritative answer its claims are
   * not withdrawn; they are no longer refreshed and expire, also if a push session had followed
   * them.
   */
  private void remove(ServiceInstance instance, boolean authoritative) {
    cache.release(instance, instance.srv);
    cache.release(instance, instance.txt);
    instance.ipv4Addresses.values().forEach(set -> cache.release(instance, set));
    instance.ipv6Addresses.values().forEach(set -> cache.release(instance, set));
    instance.ipv4Addresses.clear();
    instance.ipv6Addresses.clear();
    instance.srv = null;
    instance.txt = null;
    instance.withdrawn = authoritative;
    instances.remove(instance.name);
    changed.add(instance);
  }
}

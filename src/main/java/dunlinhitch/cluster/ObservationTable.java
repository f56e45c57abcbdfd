package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What all brokers saw of the stores, merged: of each store the latest signal of each of the few
 * authors that saw it last. Merging is commutative, associative and idempotent, so brokers that
 * heard the same signals in any order, any number of times, hold the same. Bounded by {@code
 * mostStores} and {@code MOST_AUTHORS}; what is older than {@code staleUs} says nothing.
 */
public final class ObservationTable {
  /**
   * One store's load is one figure; a few that saw it tell a store that fails from a link that
   * does.
   */
  static final int MOST_AUTHORS = 3;

  /**
   * Order of one store's signals: what is kept first. It is total, so what is kept depends on the
   * set alone.
   */
  private static final Comparator<EndpointObservation> LATEST =
      Comparator.comparingLong(EndpointObservation::startedMs)
          .thenComparingLong(EndpointObservation::seenUs)
          .thenComparingLong(EndpointObservation::number)
          .thenComparing(EndpointObservation::author)
          .reversed();

  private final int mostStores;
  private final long staleUs;
  private final Map<String, List<EndpointObservation>> byStore = new LinkedHashMap<>();
  private long refused;

  public ObservationTable(int mostStores, long staleUs) {
    this.mostStores = mostStores;
    this.staleUs = staleUs;
  }

  /**
   * Takes a signal at {@code nowUs} of the day's clock; true where it was news. One that is stale,
   * of a life that is over or beyond the bound is passed over; one from the future (a clock that is
   * ahead) counts as seen now, so that it can not outlive the truth.
   */
  public boolean take(EndpointObservation told, long nowUs) {
    EndpointObservation signal =
        told.seenUs() <= nowUs
            ? told
            : new EndpointObservation(
                told.store(),
                told.startedMs(),
                told.author(),
                told.number(),
                nowUs,
                told.report(),
                told.failed());
    if (nowUs - signal.seenUs() > staleUs) {
      return false;
    }
    List<EndpointObservation> held = byStore.get(signal.store());
    if (held == null) {
      if (byStore.size() >= mostStores) {
        refused++;
        return false;
      }
      held = new ArrayList<>(MOST_AUTHORS + 1);
      byStore.put(signal.store(), held);
    }
    if (!held.isEmpty() && held.get(0).startedMs() > signal.startedMs()) {
      return false;
    }
    for (EndpointObservation other : held) {
      if (other.author().equals(signal.author()) && !signal.replaces(other)) {
        return false;
      }
    }
    held.removeIf(
        other -> other.author().equals(signal.author()) || other.startedMs() < signal.startedMs());
    held.add(signal);
    held.sort(LATEST);
    if (held.size() > MOST_AUTHORS) {
      return held.remove(MOST_AUTHORS) != signal;
    }
    return true;
  }

  /**
   * The latest report of the store that was seen after {@code sinceUs} by another than {@code
   * self}, if there is one.
   */
  public Optional<EndpointObservation> report(String store, long sinceUs, String self) {
    return byStore.getOrDefault(store, List.of()).stream()
        .filter(s -> !s.author().equals(self) && s.seenUs() > sinceUs && !s.report().isEmpty())
        .findFirst();
  }

  /**
   * True where that task was done by anybody since: of any author, with an answer or without one.
   */
  public boolean seenSince(String store, long sinceUs) {
    return byStore.getOrDefault(store, List.of()).stream().anyMatch(s -> s.seenUs() >= sinceUs);
  }

  /**
   * How many brokers, of those that saw the store of late, got no answer from it in a row of {@code
   * inARow} or more.
   */
  public int failing(String store, int inARow) {
    return (int)
        byStore.getOrDefault(store, List.of()).stream().filter(s -> s.failed() >= inARow).count();
  }

  /** How many brokers saw it of late. */
  public int seen(String store) {
    return byStore.getOrDefault(store, List.of()).size();
  }

  /** All that is held, for a newcomer. */
  public List<EndpointObservation> all() {
    return byStore.values().stream().flatMap(List::stream).toList();
  }

  /** Lets go of what is stale; call it now and then. */
  public void passed(long nowUs) {
    byStore
        .values()
        .removeIf(
            held -> {
              held.removeIf(signal -> nowUs - signal.seenUs() > staleUs);
              return held.isEmpty();
            });
  }

  /** A store that is gone from the roster. */
  public void forget(String store) {
    byStore.remove(store);
  }

  /** Signals of stores beyond the bound. */
  public long refused() {
    return refused;
  }
}

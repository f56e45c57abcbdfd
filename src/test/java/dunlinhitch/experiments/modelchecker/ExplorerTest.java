package dunlinhitch.experiments.modelchecker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.ReplicatedEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Explores the production modules under all orders of messages and faults, and verifies that the
 * explorer detects deliberate defects.
 */
class ExplorerTest {
  private static final Explorer.Limits SHALLOW = new Explorer.Limits(4, 30_000);

  @ParameterizedTest
  @CsvSource({"view, 5", "view-start, 4", "facts, 4", "facts-ties, 3", "facts-ahead, 3"})
  void productionModulesHaveNoViolation(String name, int depth) {
    Explorer.Report report =
        Explorer.explore(Models.create(name), new Explorer.Limits(depth, 100_000));
    assertEquals(Optional.empty(), report.violation());
    assertEquals(
        depth, report.depth(), "exploration stopped before the depth was complete: " + report);
    assertTrue(report.states() > 300, report.toString());
  }

  private static Explorer.Violation findViolation(MembershipSubject.Mutation mutation) {
    return Explorer.explore(
            new ClusterModel<>(new MembershipSubject(1, mutation), Models.membershipBudget(4)),
            SHALLOW)
        .violation()
        .orElseThrow();
  }

  /**
   * The defective protocol ignores incarnations above the initial one, so that no suspicion can be
   * refuted.
   */
  @Test
  void ignoredRefutationIsFound() {
    UnaryOperator<GossipMessage> ignoresRefutations =
        message ->
            new GossipMessage(
                message.kind(),
                inFirstIncarnation(message.from()),
                message.sequenceNumber(),
                message.subject(),
                message.versions(),
                message.memberUpdates().stream().map(ExplorerTest::inFirstIncarnation).toList(),
                message.observations(),
                message.digest(),
                message.buckets(),
                message.suspicionReports());
    Explorer.Violation found =
        findViolation(
            new MembershipSubject.Mutation(
                ignoresRefutations, now -> 1_000, MembershipSubject.Mutation.NONE.convergence()));
    assertTrue(found.description().startsWith("after the convergence phase: "), found.toString());
  }

  private static Member inFirstIncarnation(Member peer) {
    return new Member(
        peer.name(),
        peer.zone(),
        peer.host(),
        peer.port(),
        Math.min(peer.incarnation(), 1_000),
        peer.status());
  }

  @Test
  void restartInOlderIncarnationIsFound() {
    Explorer.Violation found =
        findViolation(
            new MembershipSubject.Mutation(
                message -> message,
                now -> now == 0 ? 1_000 : 0,
                MembershipSubject.Mutation.NONE.convergence()));
    assertTrue(found.description().contains("whose own incarnation is 0"), found.toString());
    assertEquals(
        3, found.trace().size(), "expected a crash, a time step and a restart: " + found.trace());
  }

  @Test
  void prematureConvergenceIsFound() {
    Explorer.Violation found =
        findViolation(
            new MembershipSubject.Mutation(
                message -> message, MembershipSubject.Mutation.NONE.incarnation(), view -> true));
    assertTrue(found.description().startsWith("converged views differ: "), found.toString());
  }

  /**
   * A defective map: {@code latest} selects between two entries of the same key and origin, {@code
   * bounded} enables the limit of entries per origin, {@code expires} enables expiry.
   */
  private static final class FaultyReplica implements ReplicatedMapSubject.Replica {
    private final Map<String, ReplicatedEntry<String, Integer>> entriesByOwner = new HashMap<>();
    private final BinaryOperator<ReplicatedEntry<String, Integer>> latest;
    private final boolean bounded;
    private final boolean expires;

    FaultyReplica(
        BinaryOperator<ReplicatedEntry<String, Integer>> latest, boolean bounded, boolean expires) {
      this.latest = latest;
      this.bounded = bounded;
      this.expires = expires;
    }

    @Override
    public void merge(long nowUs, ReplicatedEntry<String, Integer> update) {
      entriesByOwner.merge(update.key() + " " + update.origin(), update, latest);
      List<ReplicatedEntry<String, Integer>> now = entries();
      entriesByOwner
          .values()
          .removeIf(
              old ->
                  bounded
                      && now.stream()
                          .anyMatch(
                              entry ->
                                  entry.origin().equals(old.origin())
                                      && entry.timestampUs() > old.timestampUs()));
    }

    @Override
    public void expire(long nowUs) {
      entriesByOwner
          .values()
          .removeIf(
              entry ->
                  expires
                      && entry.timestampUs()
                          <= nowUs - ReplicatedMapSubject.SETTINGS.timeToLiveUs());
    }

    @Override
    public List<ReplicatedEntry<String, Integer>> entries() {
      return entriesByOwner.values().stream()
          .sorted(
              Comparator.<ReplicatedEntry<String, Integer>>comparingLong(
                      ReplicatedEntry::timestampUs)
                  .reversed()
                  .thenComparing(ReplicatedEntry::key)
                  .thenComparing(ReplicatedEntry::origin))
          .toList();
    }
  }

  @ParameterizedTest
  @CsvSource({
    "true, true, true, after the convergence phase",
    "false, false, true, 'holds 2 entries, 2 of them'",
    "false, true, false, still holds the expired entry"
  })
  void faultyReplicasAreFound(
      boolean byArrival, boolean bounded, boolean expires, String expected) {
    BinaryOperator<ReplicatedEntry<String, Integer>> latest =
        (one, other) -> byArrival || other.timestampUs() > one.timestampUs() ? other : one;
    ReplicatedMapSubject subject =
        new ReplicatedMapSubject(() -> new FaultyReplica(latest, bounded, expires), 0, false);
    Explorer.Report report =
        Explorer.explore(
            new ClusterModel<>(subject, new ClusterModel.Budget(0, 2, 2, 1, 1, 0, 1, 2)),
            new Explorer.Limits(5, 100_000));
    assertTrue(
        report.violation().orElseThrow().description().contains(expected), report.toString());
  }

  /** Two symmetric counters; the values 2 and 3 violate the convergence property. */
  private record Pair(int one, int other) {}

  private static final Model<Pair, String> COUNTERS =
      new Model<>() {
        @Override
        public Pair initialState() {
          return new Pair(0, 0);
        }

        @Override
        public List<String> transitions(Pair state) {
          return List.of("one", "other");
        }

        @Override
        public Pair successor(Pair state, String transition) {
          return transition.equals("one")
              ? new Pair(state.one() + 1, state.other())
              : new Pair(state.one(), state.other() + 1);
        }

        @Override
        public Digest digest(Pair state) {
          return new Digest(
              Math.min(state.one(), state.other()), Math.max(state.one(), state.other()));
        }

        @Override
        public Optional<String> safetyViolation(Pair state) {
          return Optional.empty();
        }

        @Override
        public Optional<String> convergenceViolation(Pair state) {
          return state.one() * state.other() == 6 && state.one() + state.other() == 5
              ? Optional.of("2 and 3")
              : Optional.empty();
        }
      };

  @Test
  void statesAreVisitedOnceAndTheTraceIsShortest() {
    Explorer.Report whole = Explorer.explore(COUNTERS, new Explorer.Limits(4, 1_000));
    assertEquals(1 + 1 + 2 + 2 + 3, whole.states());
    assertEquals(Optional.empty(), whole.violation());
    assertEquals(
        3,
        Explorer.explore(COUNTERS, new Explorer.Limits(9, 7)).depth(),
        "the limit of states stops the exploration");
    Explorer.Violation found =
        Explorer.explore(COUNTERS, new Explorer.Limits(9, 1_000)).violation().orElseThrow();
    assertEquals("after the convergence phase: 2 and 3", found.description());
    assertEquals(5, found.trace().size());
  }

  @Test
  void explorationIsDeterministic() {
    Model<?, ?> first =
        new ClusterModel<>(
            new MembershipSubject(
                1,
                new MembershipSubject.Mutation(
                    message -> message,
                    now -> 1_000 - now,
                    MembershipSubject.Mutation.NONE.convergence())),
            Models.membershipBudget(4));
    Explorer.Report one = Explorer.explore(first, SHALLOW);
    assertTrue(one.violation().isPresent());
    assertEquals(one, Explorer.explore(first, SHALLOW));
  }

  /**
   * The hash of an unordered set or map does not depend on the order of its elements. The hash of a
   * list or linked set depends on the order. Names are mapped before they are hashed.
   */
  @Test
  void hashesDifferWhereStatesDiffer() {
    UnaryOperator<String> same = text -> text;
    assertEquals(
        StateHasher.of(Set.of("a", "b", "c"), same), StateHasher.of(Set.of("c", "b", "a"), same));
    assertNotEquals(
        StateHasher.of(List.of("a", "b"), same), StateHasher.of(List.of("b", "a"), same));
    assertNotEquals(
        StateHasher.of(new LinkedHashSet<>(List.of("a", "b")), same),
        StateHasher.of(new LinkedHashSet<>(List.of("b", "a")), same));
    assertEquals(
        StateHasher.of(new Member("n0", "", "n0", 1, 7, Member.Status.DEAD), same),
        StateHasher.of(
            new Member("n1", "", "n1", 1, 7, Member.Status.DEAD),
            text -> text.equals("n1") ? "n0" : text));
    assertNotEquals(
        StateHasher.of(new ArrayList<>(List.of(1L)), same),
        StateHasher.of(new ArrayDeque<>(List.of(2L)), same));
    assertThrows(IllegalArgumentException.class, () -> StateHasher.of(new Object(), same));
  }
}

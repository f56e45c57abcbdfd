package dunlinhitch.experiments.modelchecker;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.MembershipProtocolSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntToLongFunction;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** The brokers' view of each other, the module that serves. */
public final class MembershipSubject
    implements Subject<GossipMessage, MembershipSubject.Observation> {
  /**
   * A look every second step, an answer within one; suspected for two to four. One look that fails
   * is enough, and an ill broker is ill by one, so that suspicions and health come up within a few
   * moves.
   */
  private static final MembershipProtocolSettings SETTINGS =
      new MembershipProtocolSettings(2, 1, 1, 2, 1_000, 16, 1, 1, 2, 1_200, 4_800, true);

  /**
   * Between two starts a step apart: more than a broker gainsays in a life that is looked at here.
   */
  private static final long INCARNATION_STRIDE = 1_000;

  private static final int CONVERGENCE_STEPS = 80;

  /**
   * Where the module is put wrong on purpose.
   *
   * @param messageMutation what a broker makes of a word that it hears
   * @param incarnation under which it starts, by the step
   * @param convergence whether it counts its view for settled
   */
  record Mutation(
      UnaryOperator<GossipMessage> messageMutation,
      IntToLongFunction incarnation,
      Predicate<MembershipProtocol> convergence) {
    static final Mutation NONE =
        new Mutation(
            word -> word,
            now -> (now + 1) * INCARNATION_STRIDE,
            view -> view.snapshot().isConverged());
  }

  /** What can be seen of one view. */
  public record Observation(
      Member self, Set<String> members, List<Member> peers, boolean converged, String violation) {}

  private final long seed;
  private final Mutation mutation;

  /** {@code seed}: of the rows in which the brokers look at each other, the same for all. */
  public MembershipSubject(long seed) {
    this(seed, Mutation.NONE);
  }

  MembershipSubject(long seed, Mutation flaw) {
    this.seed = seed;
    this.mutation = flaw;
  }

  /** One broker's. */
  private static final class MembershipNode implements Node<GossipMessage, Observation> {
    private final MembershipProtocol protocol;
    private final Mutation mutation;
    private long incarnation;
    private String violation;

    MembershipNode(MembershipProtocol view, Mutation flaw) {
      this.protocol = view;
      this.mutation = flaw;
      incarnation = view.self().incarnation();
    }

    @Override
    public void onTick(int now) {
      protocol.onTime(now);
      checkIncarnation();
    }

    @Override
    public void onMessage(int now, GossipMessage word) {
      protocol.onMessage(now, mutation.messageMutation().apply(word));
      checkIncarnation();
    }

    @Override
    public void perform(int now, int order, String what) {
      throw new IllegalStateException("a view does nothing of its own accord but in time");
    }

    private void checkIncarnation() {
      if (protocol.self().incarnation() < incarnation) {
        violation =
            protocol.self().name()
                + " went back from incarnation "
                + incarnation
                + " to "
                + protocol.self().incarnation();
      }
      incarnation = Math.max(incarnation, protocol.self().incarnation());
    }

    @Override
    public Observation observe() {
      return new Observation(
          protocol.self(),
          protocol.snapshot().names(),
          List.copyOf(protocol.peers()),
          mutation.convergence().test(protocol),
          violation);
    }

    @Override
    public Object state() {
      return protocol;
    }
  }

  @Override
  public Node<GossipMessage, Observation> start(
      int number, int now, Node.MessageSender<GossipMessage> mouth) {
    String name = ClusterModel.name(number);
    List<MembershipProtocol.Seed> seeds = new ArrayList<>();
    for (int hop = 1; hop < ClusterModel.BROKER_COUNT; hop++) { // from itself on
      seeds.add(
          new MembershipProtocol.Seed(
              ClusterModel.name((number + hop) % ClusterModel.BROKER_COUNT), 1));
    }
    Member self =
        new Member(name, "", name, 1, mutation.incarnation().applyAsLong(now), Member.Status.ALIVE);
    return new MembershipNode(
        new MembershipProtocol(
            self,
            seeds,
            SETTINGS,
            seed,
            now,
            (host, port, word) -> mouth.send(ClusterModel.number(host), word),
            bytes -> List.of()),
        mutation);
  }

  /** None: digests and buckets are made of the names, so no two brokers are alike. */
  @Override
  public List<int[]> symmetries() {
    return List.of(new int[] {0, 1, 2});
  }

  @Override
  public List<String> actions(int number) {
    return List.of();
  }

  @Override
  public boolean isUpdate(String act) {
    return false;
  }

  @Override
  public List<String> convergenceActions(int number) {
    return List.of();
  }

  @Override
  public Optional<String> safetyViolation(List<Observation> seen, List<List<Integer>> sides) {
    for (List<Integer> side : sides) {
      Optional<Observation> first =
          side.stream().map(seen::get).filter(Observation::converged).findFirst();
      for (int i : side) {
        Observation one = seen.get(i);
        if (one.violation() != null) {
          return Optional.of(one.violation());
        }
        for (Member peer : one.peers()) {
          Member self = seen.get(ClusterModel.number(peer.name())).self();
          if (peer.name().equals(one.self().name())) {
            return Optional.of(peer.name() + " counts itself among the others");
          }
          if (peer.incarnation() > self.incarnation()) {
            return Optional.of(
                one.self().name()
                    + " holds incarnation "
                    + peer.incarnation()
                    + " of "
                    + peer.name()
                    + ", which is in "
                    + self.incarnation());
          }
        }
        if (one.converged() && !one.members().equals(first.get().members())) {
          return Optional.of(
              "settled and at odds: "
                  + first.get().self().name()
                  + " with "
                  + first.get().members()
                  + ", "
                  + one.self().name()
                  + " with "
                  + one.members());
        }
      }
    }
    return Optional.empty();
  }

  @Override
  public Optional<String> convergenceViolation(List<Observation> live, List<Integer> numbers) {
    Set<String> all = new TreeSet<>();
    numbers.forEach(i -> all.add(ClusterModel.name(i)));
    for (Observation one : live) {
      Optional<Member> doubted =
          one.peers().stream().filter(peer -> peer.status() == Member.Status.SUSPECT).findFirst();
      if (!one.members().equals(all) || doubted.isPresent() || !one.converged()) {
        return Optional.of(
            one.self().name()
                + " holds "
                + one.members()
                + " where "
                + all
                + " are up"
                + doubted.map(peer -> ", and suspects " + peer.name()).orElse("")
                + (one.converged() ? "" : ", and is not settled"));
      }
    }
    return Optional.empty();
  }

  @Override
  public int convergenceSteps() {
    return CONVERGENCE_STEPS;
  }

  /** A whole round of looks. */
  @Override
  public int stableSteps() {
    return 4;
  }

  @Override
  public String describe(GossipMessage word) {
    StringBuilder told =
        new StringBuilder(word.kind().name()).append(' ').append(word.sequenceNumber());
    if (!word.subject().isEmpty()) {
      told.append(" about ").append(word.subject());
    }
    told.append(", itself in ").append(word.from().incarnation());
    word.memberUpdates()
        .forEach(
            peer ->
                told.append(", ")
                    .append(peer.name())
                    .append(' ')
                    .append(peer.status())
                    .append(" in ")
                    .append(peer.incarnation()));
    return told.toString();
  }
}

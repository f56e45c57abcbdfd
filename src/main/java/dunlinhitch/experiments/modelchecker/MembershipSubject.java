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

/** Adapts the production membership protocol for the model checker. */
public final class MembershipSubject
    implements Subject<GossipMessage, MembershipSubject.Observation> {
  /**
   * Settings with a ping every second step, a ping timeout of one step and a suspicion timeout of
   * two to four steps. A single failed ping raises a suspicion and changes the local health
   * multiplier, so that a few transitions suffice to reach both effects.
   */
  private static final MembershipProtocolSettings SETTINGS =
      new MembershipProtocolSettings(2, 1, 1, 2, 1_000, 16, 1, 1, 2, 1_200, 4_800, true);

  /**
   * Difference between the initial incarnations of two starts that are one step apart. Each
   * refutation increments the incarnation by one. The number of refutations between two starts is
   * smaller than this difference, so that a restarted broker has a higher incarnation than before.
   */
  private static final long INCARNATION_STRIDE = 1_000;

  /** Number of steps within which the views must converge. */
  private static final int CONVERGENCE_STEPS = 80;

  /**
   * A deliberate defect of the module.
   *
   * @param messageMutation changes each message that a broker receives
   * @param incarnation returns the initial incarnation of a broker for the step in which it starts
   * @param convergence decides whether a broker considers its view converged
   */
  record Mutation(
      UnaryOperator<GossipMessage> messageMutation,
      IntToLongFunction incarnation,
      Predicate<MembershipProtocol> convergence) {
    static final Mutation NONE =
        new Mutation(
            message -> message,
            now -> (now + 1) * INCARNATION_STRIDE,
            protocol -> protocol.snapshot().isConverged());
  }

  /** The observable part of the view of one broker. */
  public record Observation(
      Member self, Set<String> members, List<Member> peers, boolean converged, String violation) {}

  private final long seed;
  private final Mutation mutation;

  /**
   * Creates a subject without defects; {@code seed} determines the order in which brokers ping each
   * other.
   */
  public MembershipSubject(long seed) {
    this(seed, Mutation.NONE);
  }

  MembershipSubject(long seed, Mutation mutation) {
    this.seed = seed;
    this.mutation = mutation;
  }

  /** The protocol instance of one broker. */
  private static final class MembershipNode implements Node<GossipMessage, Observation> {
    private final MembershipProtocol protocol;
    private final Mutation mutation;
    private long incarnation;
    private String violation;

    MembershipNode(MembershipProtocol protocol, Mutation mutation) {
      this.protocol = protocol;
      this.mutation = mutation;
      incarnation = protocol.self().incarnation();
    }

    @Override
    public void onTick(int now) {
      protocol.onTime(now);
      checkIncarnation();
    }

    @Override
    public void onMessage(int now, GossipMessage message) {
      protocol.onMessage(now, mutation.messageMutation().apply(message));
      checkIncarnation();
    }

    @Override
    public void perform(int now, int order, String action) {
      throw new IllegalStateException(
          "the membership protocol has no actions, but was asked to perform: " + action);
    }

    private void checkIncarnation() {
      if (protocol.self().incarnation() < incarnation) {
        violation =
            protocol.self().name()
                + " decreased its incarnation from "
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
      int number, int now, Node.MessageSender<GossipMessage> sender) {
    String name = ClusterModel.name(number);
    List<MembershipProtocol.Seed> seeds = new ArrayList<>();
    for (int hop = 1; hop < ClusterModel.BROKER_COUNT; hop++) { // the first seed is the next broker
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
            (host, port, message) -> sender.send(ClusterModel.number(host), message),
            bytes -> List.of()),
        mutation);
  }

  /**
   * Returns only the identity, because the digests and buckets of the membership protocol depend on
   * the broker names.
   */
  @Override
  public List<int[]> symmetries() {
    return List.of(new int[] {0, 1, 2});
  }

  @Override
  public List<String> actions(int number) {
    return List.of();
  }

  @Override
  public boolean isUpdate(String action) {
    return false;
  }

  @Override
  public List<String> convergenceActions(int number) {
    return List.of();
  }

  @Override
  public Optional<String> safetyViolation(
      List<Observation> observations, List<List<Integer>> groups) {
    for (List<Integer> group : groups) {
      Optional<Observation> first =
          group.stream().map(observations::get).filter(Observation::converged).findFirst();
      for (int i : group) {
        Observation one = observations.get(i);
        if (one.violation() != null) {
          return Optional.of(one.violation());
        }
        for (Member peer : one.peers()) {
          Member self = observations.get(ClusterModel.number(peer.name())).self();
          if (peer.name().equals(one.self().name())) {
            return Optional.of(peer.name() + " lists itself among its peers");
          }
          if (peer.incarnation() > self.incarnation()) {
            return Optional.of(
                one.self().name()
                    + " has recorded incarnation "
                    + peer.incarnation()
                    + " of "
                    + peer.name()
                    + ", whose own incarnation is "
                    + self.incarnation());
          }
        }
        if (one.converged() && !one.members().equals(first.get().members())) {
          return Optional.of(
              "converged views differ: "
                  + first.get().self().name()
                  + " has members "
                  + first.get().members()
                  + ", "
                  + one.self().name()
                  + " has members "
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
      Optional<Member> suspected =
          one.peers().stream().filter(peer -> peer.status() == Member.Status.SUSPECT).findFirst();
      if (!one.members().equals(all) || suspected.isPresent() || !one.converged()) {
        return Optional.of(
            one.self().name()
                + " has members "
                + one.members()
                + ", but the live brokers are "
                + all
                + suspected.map(peer -> ", and suspects " + peer.name()).orElse("")
                + (one.converged() ? "" : ", and has not converged"));
      }
    }
    return Optional.empty();
  }

  @Override
  public int convergenceSteps() {
    return CONVERGENCE_STEPS;
  }

  /** Returns the number of steps of one complete round of pings. */
  @Override
  public int stableSteps() {
    return 4;
  }

  @Override
  public String describe(GossipMessage message) {
    StringBuilder text =
        new StringBuilder(message.kind().name()).append(' ').append(message.sequenceNumber());
    if (!message.subject().isEmpty()) {
      text.append(" about ").append(message.subject());
    }
    text.append(", own incarnation ").append(message.from().incarnation());
    message
        .memberUpdates()
        .forEach(
            peer ->
                text.append(", ")
                    .append(peer.name())
                    .append(' ')
                    .append(peer.status())
                    .append(" in incarnation ")
                    .append(peer.incarnation()));
    return text.toString();
  }
}

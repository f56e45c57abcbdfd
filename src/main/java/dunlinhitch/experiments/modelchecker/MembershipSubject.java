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

/** The membership protocol of the production code. */
public final class MembershipSubject
    implements Subject<GossipMessage, MembershipSubject.Observation> {
  /**
   * A ping every second step with a timeout of one step; suspicion lasts two to four steps. One
   * failed ping is enough to suspect, and the local health multiplier reacts at once, so that both
   * occur within a few transitions.
   */
  private static final MembershipProtocolSettings SETTINGS =
      new MembershipProtocolSettings(2, 1, 1, 2, 1_000, 16, 1, 1, 2, 1_200, 4_800, true);

  /**
   * The distance between the incarnations of restarts one step apart: larger than the refutations
   * in one incarnation.
   */
  private static final long INCARNATION_STRIDE = 1_000;

  /** The steps within which the views must converge. */
  private static final int CONVERGENCE_STEPS = 80;

  /**
   * A deliberate defect of the module.
   *
   * @param messageMutation changes each message that a broker receives
   * @param incarnation the incarnation of a broker that starts in a step
   * @param convergence whether a broker considers its view converged
   */
  record Mutation(
      UnaryOperator<GossipMessage> messageMutation,
      IntToLongFunction incarnation,
      Predicate<MembershipProtocol> convergence) {
    static final Mutation NONE =
        new Mutation(
            message -> message,
            now -> (now + 1) * INCARNATION_STRIDE,
            view -> view.snapshot().isConverged());
  }

  /** What is visible of the view of one broker. */
  public record Observation(
      Member self, Set<String> members, List<Member> peers, boolean converged, String violation) {}

  private final long seed;
  private final Mutation mutation;

  /**
   * Creates a subject on the production module; {@code seed} determines the ping order of all
   * brokers.
   */
  public MembershipSubject(long seed) {
    this(seed, Mutation.NONE);
  }

  MembershipSubject(long seed, Mutation flaw) {
    this.seed = seed;
    this.mutation = flaw;
  }

  /** The protocol instance of one broker. */
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
    public void onMessage(int now, GossipMessage message) {
      protocol.onMessage(now, mutation.messageMutation().apply(message));
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
            (host, port, message) -> mouth.send(ClusterModel.number(host), message),
            bytes -> List.of()),
        mutation);
  }

  /** Only the identity: digests and buckets depend on the names. */
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
      Optional<Member> suspected =
          one.peers().stream().filter(peer -> peer.status() == Member.Status.SUSPECT).findFirst();
      if (!one.members().equals(all) || suspected.isPresent() || !one.converged()) {
        return Optional.of(
            one.self().name()
                + " holds "
                + one.members()
                + " where "
                + all
                + " are up"
                + suspected.map(peer -> ", and suspects " + peer.name()).orElse("")
                + (one.converged() ? "" : ", and is not settled"));
      }
    }
    return Optional.empty();
  }

  @Override
  public int convergenceSteps() {
    return CONVERGENCE_STEPS;
  }

  /** One complete round of pings. */
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
    text.append(", itself in ").append(message.from().incarnation());
    message
        .memberUpdates()
        .forEach(
            peer ->
                text.append(", ")
                    .append(peer.name())
                    .append(' ')
                    .append(peer.status())
                    .append(" in ")
                    .append(peer.incarnation()));
    return text.toString();
  }
}

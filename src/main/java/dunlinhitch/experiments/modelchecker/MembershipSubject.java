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
public final class MembershipSubject implements Subject<GossipMessage, MembershipSubject.Seen> {
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
  private static final long INCARNATIONS = 1_000;

  private static final int WITHIN = 80;

  /**
   * Where the module is put wrong on purpose.
   *
   * @param ear what a broker makes of a word that it hears
   * @param incarnation under which it starts, by the step
   * @param settled whether it counts its view for settled
   */
  record Flaw(
      UnaryOperator<GossipMessage> ear,
      IntToLongFunction incarnation,
      Predicate<MembershipProtocol> settled) {
    static final Flaw NONE =
        new Flaw(
            word -> word, now -> (now + 1) * INCARNATIONS, view -> view.snapshot().isConverged());
  }

  /** What can be seen of one view. */
  public record Seen(
      Member self, Set<String> members, List<Member> peers, boolean settled, String wrong) {}

  private final long seed;
  private final Flaw flaw;

  /** {@code seed}: of the rows in which the brokers look at each other, the same for all. */
  public MembershipSubject(long seed) {
    this(seed, Flaw.NONE);
  }

  MembershipSubject(long seed, Flaw flaw) {
    this.seed = seed;
    this.flaw = flaw;
  }

  /** One broker's. */
  private static final class Seeing implements Node<GossipMessage, Seen> {
    private final MembershipProtocol view;
    private final Flaw flaw;
    private long incarnation;
    private String wrong;

    Seeing(MembershipProtocol view, Flaw flaw) {
      this.view = view;
      this.flaw = flaw;
      incarnation = view.self().incarnation();
    }

    @Override
    public void passed(int now) {
      view.onTime(now);
      look();
    }

    @Override
    public void heard(int now, GossipMessage word) {
      view.onMessage(now, flaw.ear().apply(word));
      look();
    }

    @Override
    public void act(int now, int order, String what) {
      throw new IllegalStateException("a view does nothing of its own accord but in time");
    }

    private void look() {
      if (view.self().incarnation() < incarnation) {
        wrong =
            view.self().name()
                + " went back from incarnation "
                + incarnation
                + " to "
                + view.self().incarnation();
      }
      incarnation = Math.max(incarnation, view.self().incarnation());
    }

    @Override
    public Seen seen() {
      return new Seen(
          view.self(),
          view.snapshot().names(),
          List.copyOf(view.peers()),
          flaw.settled().test(view),
          wrong);
    }

    @Override
    public Object state() {
      return view;
    }
  }

  @Override
  public Node<GossipMessage, Seen> start(int number, int now, Node.Mouth<GossipMessage> mouth) {
    String name = Brokers.name(number);
    List<MembershipProtocol.Seed> seeds = new ArrayList<>();
    for (int hop = 1; hop < Brokers.COUNT; hop++) { // from itself on
      seeds.add(new MembershipProtocol.Seed(Brokers.name((number + hop) % Brokers.COUNT), 1));
    }
    Member self =
        new Member(name, "", name, 1, flaw.incarnation().applyAsLong(now), Member.Status.ALIVE);
    return new Seeing(
        new MembershipProtocol(
            self,
            seeds,
            SETTINGS,
            seed,
            now,
            (host, port, word) -> mouth.say(Brokers.number(host), word),
            bytes -> List.of()),
        flaw);
  }

  /** None: digests and buckets are made of the names, so no two brokers are alike. */
  @Override
  public List<int[]> symmetries() {
    return List.of(new int[] {0, 1, 2});
  }

  @Override
  public List<String> acts(int number) {
    return List.of();
  }

  @Override
  public boolean isNews(String act) {
    return false;
  }

  @Override
  public List<String> calmActs(int number) {
    return List.of();
  }

  @Override
  public Optional<String> broken(List<Seen> seen, List<List<Integer>> sides) {
    for (List<Integer> side : sides) {
      Optional<Seen> first = side.stream().map(seen::get).filter(Seen::settled).findFirst();
      for (int i : side) {
        Seen one = seen.get(i);
        if (one.wrong() != null) {
          return Optional.of(one.wrong());
        }
        for (Member peer : one.peers()) {
          Member self = seen.get(Brokers.number(peer.name())).self();
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
        if (one.settled() && !one.members().equals(first.get().members())) {
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
  public Optional<String> unsettled(List<Seen> live, List<Integer> numbers) {
    Set<String> all = new TreeSet<>();
    numbers.forEach(i -> all.add(Brokers.name(i)));
    for (Seen one : live) {
      Optional<Member> doubted =
          one.peers().stream().filter(peer -> peer.status() == Member.Status.SUSPECT).findFirst();
      if (!one.members().equals(all) || doubted.isPresent() || !one.settled()) {
        return Optional.of(
            one.self().name()
                + " holds "
                + one.members()
                + " where "
                + all
                + " are up"
                + doubted.map(peer -> ", and suspects " + peer.name()).orElse("")
                + (one.settled() ? "" : ", and is not settled"));
      }
    }
    return Optional.empty();
  }

  @Override
  public int settledWithin() {
    return WITHIN;
  }

  /** A whole round of looks. */
  @Override
  public int lasting() {
    return 4;
  }

  @Override
  public String told(GossipMessage word) {
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

package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;

/**
 * The membership protocol of one broker, after SWIM (Das, Gupta and Motivala, 2002) with
 * Lifeguard's extensions (Dadgar, Phillips and Currey, 2017) and anti-entropy. This class creates
 * the components and forwards time and messages to them: {@link FailureDetector}, {@link
 * MembershipUpdates}, {@link MessageSender}, which also disseminates updates, {@link AntiEntropy},
 * and {@link JoinAddresses}.
 *
 * <p>Pure: the input is events, the output is messages, and there is no clock, socket or thread.
 * The random number generator is seeded, so the same events result in the same messages. Not
 * thread-safe; owned by the reducer. All times are microseconds of a monotonic clock. The bounds
 * are documented in docs/view.md.
 */
public final class MembershipProtocol {
  /**
   * The number of leave messages sent to each member. A member that receives none of them detects
   * the departed broker as dead after the regular timeouts.
   */
  private static final int LEAVE_TRANSMISSIONS = 2;

  /** Sends the messages of this broker, in the order of the calls. */
  public interface Transport {
    /**
     * Sends a message to the broker at an address. The message may be lost, delayed or duplicated.
     */
    void send(String host, int port, GossipMessage message);
  }

  /** An address at which a broker of the cluster may be found at start-up. */
  public record Seed(String host, int port) {}

  private final MembershipProtocolSettings settings;
  private final LocalHealth localHealth;
  private final UpdateQueue<String> updates = new UpdateQueue<>();
  private final Convergence convergence = new Convergence();
  private final MemberList members;
  private final MembershipUpdates membershipUpdates;
  private final MessageSender sender;
  private final AntiEntropy antiEntropy;
  private final JoinAddresses joinAddresses;
  private final FailureDetector failureDetector;
  private ClusterSnapshot snapshot;
  private long lastSnapshotNumber;

  /**
   * Creates a protocol whose first period is due at {@code nowUs}.
   *
   * @param self this broker, alive and with a higher incarnation than in any earlier run, for
   *     example its start time in milliseconds
   * @param seeds the addresses to which joins are sent; this broker's own address is ignored
   * @param settings the times and bounds
   * @param seed the seed of the random number generator
   * @param nowUs the current time
   * @param transport sends the messages
   * @param observations returns the endpoint observations for the next message, up to a given
   *     number of bytes
   */
  public MembershipProtocol(
      Member self,
      List<Seed> seeds,
      MembershipProtocolSettings settings,
      long seed,
      long nowUs,
      Transport transport,
      IntFunction<List<EndpointObservation>> observations) {
    this.settings = settings;
    List<Seed> otherSeeds =
        seeds.stream().filter(address -> !self.isAt(address.host(), address.port())).toList();
    SplittableRandom random = new SplittableRandom(seed);
    SuspicionTable suspicions = new SuspicionTable(settings);
    localHealth = new LocalHealth(settings.maxLocalHealth());
    members = new MemberList(self, settings, suspicions, updates, convergence);
    membershipUpdates = new MembershipUpdates(settings, members, localHealth);
    sender = new MessageSender(settings, members, updates, transport, observations);
    antiEntropy =
        new AntiEntropy(settings, members, convergence, sender, random, !otherSeeds.isEmpty());
    joinAddresses = new JoinAddresses(settings, otherSeeds, members, sender, random);
    failureDetector =
        new FailureDetector(settings, members, localHealth, sender, joinAddresses, random);
    failureDetector.start(nowUs);
  }

  /** This broker as it announces itself. */
  public Member self() {
    return members.self();
  }

  /** The current membership. Returns the same object until the membership changes. */
  public ClusterSnapshot snapshot() {
    if (members.clearChanged()) {
      snapshot = takeSnapshot();
    }
    return snapshot;
  }

  private ClusterSnapshot takeSnapshot() {
    List<ClusterSnapshot.MemberView> views = new ArrayList<>();
    views.add(new ClusterSnapshot.MemberView(members.effectiveSelf(), 0, members.selfVersions()));
    for (Member peer : members.peers()) {
      if (peer.takesPart()) {
        views.add(
            new ClusterSnapshot.MemberView(
                peer,
                members.suspicions().accusers(peer.name()),
                members.peerVersions(peer.name())));
      }
    }
    views.sort(Comparator.comparing(ClusterSnapshot.MemberView::name));
    boolean isolated = failureDetector.isIsolated();
    return new ClusterSnapshot(
        ++lastSnapshotNumber,
        views,
        members.digest(),
        isolated ? Convergence.NOT_CONVERGED : convergence.convergedSinceUs(),
        convergence.divergedMembers(),
        isolated,
        members.displacedBy());
  }

  /** All other known members, including those that are dead or have left. */
  public Collection<Member> peers() {
    return List.copyOf(members.peers());
  }

  /** Incremented whenever the set of members that are alive or suspected changes. */
  public long version() {
    return members.version();
  }

  /** The largest number of simultaneous members so far, including this broker. */
  public int largestSize() {
    return members.largestSize();
  }

  /**
   * Whether this broker considers itself isolated, because too many consecutive pings were
   * unanswered. The broker is then either disconnected or the only live member.
   */
  public boolean isIsolated() {
    return failureDetector.isIsolated();
  }

  /**
   * The local health score, according to which this broker lengthens its timeouts; 0 means healthy.
   */
  public int localHealthScore() {
    return localHealth.score();
  }

  /**
   * The number of updates dropped because the member list was full or their incarnation was too
   * high to be refuted.
   */
  public long rejected() {
    return membershipUpdates.rejected();
  }

  /** The number of members that this broker declared dead by its own failure detection. */
  public long declaredDead() {
    return failureDetector.declaredDead();
  }

  /** Sets the versions that this broker runs with; each message announces them. */
  public void setVersions(VersionVector versions) {
    members.setSelfVersions(versions);
  }

  /** The latest time at which {@link #onTime} must be called. */
  public long nextUs() {
    return Math.min(failureDetector.nextUs(), members.nextExpiryUs());
  }

  /** Handles the timeouts that are due, and runs a protocol period if it is due. */
  public void onTime(long nowUs) {
    failureDetector.resetAfterStall(nowUs);
    failureDetector.expire(nowUs);
    for (Member expired : members.removeExpired(nowUs)) {
      joinAddresses.onMemberExpired(expired);
    }
    if (failureDetector.isPeriodDue(nowUs)) {
      antiEntropy.resetPageBudget();
      failureDetector.runPeriod(nowUs);
      antiEntropy.runPeriod(nowUs);
    }
  }

  /**
   * Handles a message: merges the updates that it carries, then replies if its kind requires a
   * reply.
   */
  public void onMessage(long nowUs, GossipMessage message) {
    Member from = message.from();
    if (from.name().equals(self().name()) && self().isAt(from.host(), from.port())) {
      // The message was sent by this broker itself, or by an earlier process at the same address.
      return;
    }
    failureDetector.resetAfterStall(nowUs);
    failureDetector.onMessage(nowUs);
    membershipUpdates.merge(from, nowUs);
    message.memberUpdates().forEach(update -> membershipUpdates.merge(update, nowUs));
    message.suspicionReports().forEach(report -> membershipUpdates.merge(report, nowUs));
    antiEntropy.onMessage(message, nowUs);
    switch (message.kind()) {
      case PING -> sender.send(from, GossipMessage.Kind.ACK, message.sequenceNumber());
      case JOIN -> onJoin(message);
      case PING_REQUEST -> failureDetector.onPingRequest(message, nowUs);
      case ACK -> failureDetector.onAck(message, nowUs);
      case LEAVE, GOSSIP -> {
        // These messages carry only updates, which have been merged above.
      }
    }
  }

  private void onJoin(GossipMessage message) {
    if (!settings.isAntiEntropyEnabled()) {
      updates.replaceAll(members.peers().stream().map(Member::name).toList());
    }
    sender.send(message.from(), GossipMessage.Kind.ACK, message.sequenceNumber());
    antiEntropy.onJoin(message);
  }

  /** Sends the pending updates to a member immediately, if it is alive or suspected. */
  public void sendUpdates(String name) {
    Member peer = members.peer(name);
    if (peer != null && peer.takesPart()) {
      sender.sendGossip(peer);
    }
  }

  /**
   * Announces to all members that this broker leaves, so that they remove it without failure
   * detection.
   */
  public void leave() {
    members.markSelfLeft();
    int transmissions = settings.isLifeguardEnabled() ? LEAVE_TRANSMISSIONS : 1;
    for (int i = 0; i < transmissions; i++) {
      for (Member peer : members.peers()) {
        if (peer.takesPart()) {
          sender.send(peer, GossipMessage.Kind.LEAVE, 0);
        }
      }
    }
  }
}

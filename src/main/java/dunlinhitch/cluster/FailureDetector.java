package dunlinhitch.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Failure detection of one broker's cluster membership, after SWIM (Das, Gupta and Motivala, 2002)
 * with Lifeguard's extensions. In each protocol period this broker pings one member. If no ack
 * arrives, it asks a few other members to ping that member. After several such failures it suspects
 * the member, and when the suspicion times out it declares the member dead.
 *
 * <p>Pure: no clock, I/O or threads. Not thread-safe; owned by {@link MembershipProtocol}.
 */
final class FailureDetector {
  /**
   * The number of consecutive unanswered pings after which this broker considers itself isolated.
   */
  private static final int ISOLATION_THRESHOLD = 8;

  /**
   * The isolation threshold if Lifeguard is disabled. Without Lifeguard, any received message
   * resets the count of unanswered pings.
   */
  private static final int ISOLATION_THRESHOLD_WITHOUT_LIFEGUARD = 3;

  /** The maximum number of failed pings that wait for a retry. */
  private static final int MAX_PENDING_RETRIES = 64;

  /** The maximum number of retries in one protocol period. */
  private static final int RETRIES_PER_PERIOD = 2;

  /**
   * The number of addresses to which joins are sent per protocol period, while this broker is
   * isolated or knows no other member.
   */
  private static final int JOINS_WHEN_ISOLATED = 2;

  /**
   * A ping that waits for an ack. If the direct ping times out, an indirect probe is sent and the
   * wait continues.
   */
  private static final class PendingPing {
    private final String target;

    /** The number of this attempt to ping the target, starting at 1. */
    private final int attempt;

    private final long sentUs;
    private final long directDeadlineUs;
    private final long deadlineUs;
    private boolean indirect;

    PendingPing(String target, int attempt, long sentUs, long timeoutUs, long totalTimeoutUs) {
      this.target = target;
      this.attempt = attempt;
      this.sentUs = sentUs;
      directDeadlineUs = sentUs + timeoutUs;
      deadlineUs = sentUs + totalTimeoutUs;
    }

    long nextDeadlineUs() {
      return indirect ? deadlineUs : directDeadlineUs;
    }
  }

  /** A failed ping that is to be repeated; {@code attempt} is the number of the next attempt. */
  private record PingRetry(String target, int attempt) {}

  private final MembershipProtocolSettings settings;
  private final MemberList members;
  private final SuspicionTable suspicions;
  private final LocalHealth localHealth;
  private final MessageSender sender;
  private final JoinAddresses joinAddresses;
  private final SplittableRandom random;
  private final RelayedPings relayedPings;
  private final ProbeOrder probeOrder;
  private final Map<Long, PendingPing> pendingPings = new LinkedHashMap<>();
  private final Deque<PingRetry> retries = new ArrayDeque<>();
  private long nextPeriodUs;
  private long lastReceivedUs = Long.MIN_VALUE;
  private int consecutiveTimeouts;
  private long declaredDead;

  FailureDetector(
      MembershipProtocolSettings settings,
      MemberList members,
      LocalHealth localHealth,
      MessageSender sender,
      JoinAddresses joinAddresses,
      SplittableRandom random) {
    this.settings = settings;
    this.members = members;
    suspicions = members.suspicions();
    this.localHealth = localHealth;
    this.sender = sender;
    this.joinAddresses = joinAddresses;
    this.random = random;
    relayedPings = new RelayedPings(settings, members, sender);
    probeOrder = new ProbeOrder(members, random);
  }

  /** Schedules the first protocol period for the given time. */
  void start(long nowUs) {
    nextPeriodUs = nowUs;
  }

  /**
   * Whether this broker considers itself isolated, because too many consecutive pings were
   * unanswered. The broker is then either disconnected or the only live member.
   */
  boolean isIsolated() {
    int threshold =
        settings.isLifeguardEnabled() ? ISOLATION_THRESHOLD : ISOLATION_THRESHOLD_WITHOUT_LIFEGUARD;
    return consecutiveTimeouts >= threshold;
  }

  /** The number of members that this broker declared dead by its own failure detection. */
  long declaredDead() {
    return declaredDead;
  }

  /** The time at which the next timeout or protocol period is due. */
  long nextUs() {
    long next = Math.min(nextPeriodUs, relayedPings.nextDeadlineUs());
    for (PendingPing ping : pendingPings.values()) {
      next = Math.min(next, ping.nextDeadlineUs());
    }
    for (String name : suspicions.names()) {
      next = Math.min(next, suspicionDeadlineUs(name));
    }
    return next;
  }

  /**
   * Resets pending pings and suspicions if this broker was stalled for one protocol period or more.
   * It could not receive acks during that time, so missing acks do not show that other members
   * failed.
   */
  void resetAfterStall(long nowUs) {
    long lateUs = nowUs - nextPeriodUs;
    if (!settings.isLifeguardEnabled() || lateUs < settings.periodUs()) {
      return;
    }
    localHealth.degrade(lateUs / settings.periodUs());
    pendingPings.clear();
    retries.clear();
    relayedPings.clear();
    suspicions.restartAll(nowUs);
    nextPeriodUs = nowUs;
  }

  /** Handles the pings and suspicions that have timed out. */
  void expire(long nowUs) {
    relayedPings.expire(nowUs);
    expirePendingPings(nowUs);
    expireSuspicions(nowUs);
  }

  private void expirePendingPings(long nowUs) {
    for (Map.Entry<Long, PendingPing> entry : List.copyOf(pendingPings.entrySet())) {
      PendingPing ping = entry.getValue();
      if (nowUs >= ping.deadlineUs) {
        pendingPings.remove(entry.getKey());
        onPingFailed(ping, nowUs);
      } else if (nowUs >= ping.directDeadlineUs && !ping.indirect) {
        ping.indirect = true;
        pingIndirectly(entry.getKey(), ping);
      }
    }
  }

  private void expireSuspicions(long nowUs) {
    for (String name : List.copyOf(suspicions.names())) {
      if (nowUs >= suspicionDeadlineUs(name)) {
        declaredDead++;
        members.put(members.peer(name).withStatus(Member.Status.DEAD), nowUs);
      }
    }
  }

  /**
   * The time at which the suspicion of a member times out. If Lifeguard is enabled, no suspicion
   * times out while this broker is isolated, because an isolated broker cannot tell which members
   * are dead.
   */
  private long suspicionDeadlineUs(String name) {
    if (settings.isLifeguardEnabled() && isIsolated()) {
      return Long.MAX_VALUE;
    }
    return suspicions.deadlineUs(name, members.size(), localHealth);
  }

  /** Whether a protocol period is due. If so, the caller has to call {@link #runPeriod}. */
  boolean isPeriodDue(long nowUs) {
    return nowUs >= nextPeriodUs;
  }

  /** Runs one protocol period: a ping, retries of failed pings, and joins if necessary. */
  void runPeriod(long nowUs) {
    if (nowUs - nextPeriodUs > settings.pingTimeoutUs()) {
      localHealth.degrade(1);
    }
    nextPeriodUs = nowUs + settings.periodUs();
    boolean roundBegins = probeOrder.isRoundComplete();
    Member target = probeOrder.next();
    sendJoins(target, roundBegins);
    if (target != null) {
      ping(target, 1, nowUs);
    }
    for (int i = 0; i < RETRIES_PER_PERIOD && !retries.isEmpty(); i++) {
      PingRetry retry = retries.remove();
      Member peer = members.peer(retry.target());
      if (peer != null && peer.takesPart()) {
        ping(peer, retry.attempt(), nowUs);
      }
    }
  }

  private void sendJoins(Member target, boolean roundBegins) {
    boolean antiEntropy = settings.isAntiEntropyEnabled();
    if (target == null || isIsolated()) {
      joinAddresses.sendJoins(antiEntropy ? JOINS_WHEN_ISOLATED : Integer.MAX_VALUE);
    } else if (antiEntropy && roundBegins) {
      // A join can find a broker that no known member has on its member list.
      joinAddresses.sendJoins(1);
    }
  }

  private void ping(Member target, int attempt, long nowUs) {
    long sequenceNumber = sender.nextSequenceNumber();
    pendingPings.put(
        sequenceNumber,
        new PendingPing(
            target.name(),
            attempt,
            nowUs,
            localHealth.scale(settings.pingTimeoutUs()),
            localHealth.scale(2 * settings.pingTimeoutUs())));
    sender.send(target, GossipMessage.Kind.PING, sequenceNumber);
  }

  /**
   * Starts an indirect probe by sending ping-reqs to other members, the helpers. If Lifeguard is
   * enabled, additional messages compensate for lost ones: the target is pinged directly once more,
   * and if there are fewer helpers than ping-reqs, some helpers receive several ping-reqs.
   */
  private void pingIndirectly(long sequenceNumber, PendingPing ping) {
    List<Member> helpers = new ArrayList<>();
    for (Member peer : members.peers()) {
      if (peer.status() == Member.Status.ALIVE && !peer.name().equals(ping.target)) {
        helpers.add(peer);
      }
    }
    List<Member> remaining = new ArrayList<>(helpers);
    for (int i = 0; i < settings.indirectProbes() && !helpers.isEmpty(); i++) {
      if (remaining.isEmpty()) {
        if (!settings.isLifeguardEnabled()) {
          break;
        }
        remaining.addAll(helpers);
      }
      Member helper = remaining.remove(random.nextInt(remaining.size()));
      sender.send(helper, GossipMessage.Kind.PING_REQUEST, sequenceNumber, ping.target);
    }
    Member target = members.peer(ping.target);
    if (settings.isLifeguardEnabled() && target != null) {
      sender.send(target, GossipMessage.Kind.PING, sequenceNumber);
    }
  }

  private void onPingFailed(PendingPing ping, long nowUs) {
    countTimeout();
    if (lastReceivedUs < ping.sentUs) {
      localHealth.degrade(1);
    }
    Member target = members.peer(ping.target);
    if (target == null || !target.takesPart() || (settings.isLifeguardEnabled() && isIsolated())) {
      return;
    }
    if (ping.attempt < settings.pingAttempts()) {
      if (retries.size() < MAX_PENDING_RETRIES) {
        retries.add(new PingRetry(ping.target, ping.attempt + 1));
      }
      return;
    }
    suspect(target, nowUs);
  }

  private void countTimeout() {
    boolean wasIsolated = isIsolated();
    consecutiveTimeouts++;
    if (wasIsolated != isIsolated()) {
      members.markChanged();
    }
  }

  private void suspect(Member target, long nowUs) {
    SuspicionReport report =
        new SuspicionReport(target.name(), target.incarnation(), members.self().name());
    if (target.status() != Member.Status.ALIVE) {
      if (suspicions.addReport(report)) {
        members.markChanged();
      }
      return;
    }
    members.put(target.withStatus(Member.Status.SUSPECT), nowUs);
    suspicions.addReport(report);
    if (settings.isLifeguardEnabled()) {
      // Notifies the suspected member first, so that it can refute the suspicion.
      sender.sendGossip(target);
    }
  }

  /** Records that a message was received from another broker. */
  void onMessage(long nowUs) {
    lastReceivedUs = nowUs;
    if (!settings.isLifeguardEnabled()) {
      consecutiveTimeouts = 0;
    }
  }

  /** Pings a member on behalf of another broker. */
  void onPingRequest(GossipMessage message, long nowUs) {
    relayedPings.onPingRequest(message, nowUs);
  }

  /** Handles a direct or relayed ack. An ack for a ping that has timed out is ignored. */
  void onAck(GossipMessage message, long nowUs) {
    relayedPings.onAck(message);
    PendingPing ping = pendingPings.get(message.sequenceNumber());
    if (ping == null
        || !(ping.target.equals(message.from().name()) || ping.target.equals(message.subject()))) {
      return;
    }
    pendingPings.remove(message.sequenceNumber());
    localHealth.improve();
    retries.removeIf(retry -> retry.target().equals(ping.target));
    if (settings.isLifeguardEnabled() && isIsolated()) {
      suspicions.restartAll(nowUs);
      members.markChanged();
    }
    consecutiveTimeouts = 0;
  }
}

package dunlinhitch.cluster;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The indirect probes that this broker performs for other brokers. For each received ping-req it
 * pings the target, and forwards the ack to the requester.
 *
 * <p>Not thread-safe; owned by {@link FailureDetector}.
 */
final class RelayedPings {
  private record RelayedPing(Member requester, long requesterSequenceNumber, long deadlineUs) {}

  private final MembershipProtocolSettings settings;
  private final MemberList members;
  private final MessageSender sender;
  private final Map<Long, RelayedPing> pending = new LinkedHashMap<>();

  RelayedPings(MembershipProtocolSettings settings, MemberList members, MessageSender sender) {
    this.settings = settings;
    this.members = members;
    this.sender = sender;
  }

  /** Pings the target of a received ping-req, if the target is in the member list. */
  void onPingRequest(GossipMessage message, long nowUs) {
    Member target = members.peer(message.subject());
    if (target == null || pending.size() >= settings.maxMembers()) {
      return;
    }
    // This timeout is shorter than the timeout of the requester. If the target does not respond and
    // Lifeguard is enabled, expire sends gossip to the requester before the requester's timeout.
    // The gossip shows that this helper is alive.
    long deadlineUs = nowUs + settings.pingTimeoutUs() * 3 / 4;
    long sequenceNumber = sender.nextSequenceNumber();
    pending.put(
        sequenceNumber, new RelayedPing(message.from(), message.sequenceNumber(), deadlineUs));
    sender.send(target, GossipMessage.Kind.PING, sequenceNumber);
  }

  /** Forwards the ack of a relayed ping to the requester of the ping; ignores other acks. */
  void onAck(GossipMessage message) {
    RelayedPing ping = pending.remove(message.sequenceNumber());
    if (ping == null) {
      return;
    }
    sender.send(
        ping.requester(),
        GossipMessage.Kind.ACK,
        ping.requesterSequenceNumber(),
        message.from().name());
  }

  /** Drops the pings that timed out. If Lifeguard is enabled, sends gossip to their requesters. */
  void expire(long nowUs) {
    pending.values().removeIf(ping -> isExpired(ping, nowUs));
  }

  private boolean isExpired(RelayedPing ping, long nowUs) {
    if (nowUs < ping.deadlineUs()) {
      return false;
    }
    if (settings.isLifeguardEnabled()) {
      // Any message shows the requester that this helper is alive and that only the target is
      // unresponsive.
      sender.sendGossip(ping.requester());
    }
    return true;
  }

  /** Drops all pending pings without notifying their requesters. */
  void clear() {
    pending.clear();
  }

  /**
   * The time at which the next relayed ping times out; {@link Long#MAX_VALUE} if none is pending.
   */
  long nextDeadlineUs() {
    long next = Long.MAX_VALUE;
    for (RelayedPing ping : pending.values()) {
      next = Math.min(next, ping.deadlineUs());
    }
    return next;
  }
}

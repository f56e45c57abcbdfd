package dunlinhitch.cluster;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The indirect probes that this broker makes for others: each ping-req is relayed as a ping, and
 * the ack goes back to the requester.
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

  /** Pings the member that a ping-req names, if it is known. */
  void onPingRequest(GossipMessage message, long nowUs) {
    Member target = members.peer(message.subject());
    if (target == null || pending.size() >= settings.maxMembers()) {
      return;
    }
    // Shorter than the requester's timeout, so that the requester learns in time that this helper
    // is alive.
    long deadlineUs = nowUs + settings.pingTimeoutUs() * 3 / 4;
    long sequenceNumber = sender.nextSequenceNumber();
    pending.put(
        sequenceNumber, new RelayedPing(message.from(), message.sequenceNumber(), deadlineUs));
    sender.send(target, GossipMessage.Kind.PING, sequenceNumber);
  }

  /** Forwards the ack of a relayed ping to its requester; other acks are ignored. */
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

  /** Drops the pings that timed out. */
  void expire(long nowUs) {
    pending.values().removeIf(ping -> isExpired(ping, nowUs));
  }

  private boolean isExpired(RelayedPing ping, long nowUs) {
    if (nowUs < ping.deadlineUs()) {
      return false;
    }
    if (settings.isLifeguardEnabled()) {
      // Any message shows the requester that its helper is alive and only the target is
      // unresponsive.
      sender.sendGossip(ping.requester());
    }
    return true;
  }

  /** Drops all pending pings without notifying their requesters. */
  void clear() {
    pending.clear();
  }

  /** When the next ping times out; {@link Long#MAX_VALUE} if none is pending. */
  long nextDeadlineUs() {
    long next = Long.MAX_VALUE;
    for (RelayedPing ping : pending.values()) {
      next = Math.min(next, ping.deadlineUs());
    }
    return next;
  }
}

package dunlinhitch.cluster;

/**
 * Merges updates of other brokers about members into the {@link MemberList}, as in SWIM: the higher
 * incarnation wins. A broker that is suspected or declared dead refutes this by announcing a higher
 * incarnation of itself.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}.
 */
final class MembershipUpdates {
  private final MembershipProtocolSettings settings;
  private final MemberList members;
  private final SuspicionTable suspicions;
  private final LocalHealth localHealth;
  private long rejected;

  MembershipUpdates(
      MembershipProtocolSettings settings, MemberList members, LocalHealth localHealth) {
    this.settings = settings;
    this.members = members;
    suspicions = members.suspicions();
    this.localHealth = localHealth;
  }

  /**
   * The number of updates dropped because the member list was full or their incarnation was too
   * high to be refuted.
   */
  long rejected() {
    return rejected;
  }

  /** Merges the state of one member. */
  void merge(Member update, long nowUs) {
    if (!update.isAcceptable()) {
      rejected++;
      return;
    }
    if (update.name().equals(members.self().name())) {
      mergeSelf(update);
      return;
    }
    Member current = members.peer(update.name());
    if (current == null && !update.takesPart() && settings.isAntiEntropyEnabled()) {
      // This list does not contain the member, and the update states that the member is dead or
      // left. If brokers accepted such updates, those that still list the member would cause all
      // others to add it again, and its entry would never expire.
      return;
    }
    if (current == null && members.peers().size() >= settings.maxMembers()) {
      rejected++;
    } else if (current == null || update.replaces(current)) {
      members.put(update, nowUs);
    }
  }

  /** Merges a suspicion report: one broker received no ack from the member. */
  void merge(SuspicionReport report, long nowUs) {
    Member self = members.self();
    if (report.name().equals(self.name())) {
      if (report.incarnation() == self.incarnation()) {
        mergeSelf(self.withStatus(Member.Status.SUSPECT));
      }
      return;
    }
    Member current = members.peer(report.name());
    if (current == null || current.incarnation() != report.incarnation() || !current.takesPart()) {
      return;
    }
    if (current.status() == Member.Status.ALIVE) {
      members.put(current.withStatus(Member.Status.SUSPECT), nowUs);
    }
    if (suspicions.addReport(report)) {
      members.markChanged();
    }
  }

  /** Merges an update from another broker about this broker's name. */
  private void mergeSelf(Member update) {
    Member self = members.self();
    if (self.status() != Member.Status.ALIVE) {
      return;
    }
    if (self.isAt(update.host(), update.port())) {
      if (needsRefutation(update)) {
        refute(update);
      }
    } else if (isNewerClaimOfName(update)) {
      resolveNameConflict(update);
    }
  }

  private boolean needsRefutation(Member update) {
    Member self = members.self();
    return update.incarnation() > self.incarnation()
        || (update.incarnation() == self.incarnation() && update.status() != Member.Status.ALIVE);
  }

  private void refute(Member update) {
    if (members.displacedBy() != null) {
      // The update concerns the broker that displaced this one. That broker refutes it itself.
      return;
    }
    localHealth.degrade(update.status() == Member.Status.SUSPECT ? 1 : 0);
    members.replaceSelf(members.self().aliveWithIncarnation(update.incarnation() + 1), null);
  }

  private boolean isNewerClaimOfName(Member update) {
    Member displacedBy = members.displacedBy();
    return update.replaces(members.self()) && (displacedBy == null || update.replaces(displacedBy));
  }

  private void resolveNameConflict(Member update) {
    if (update.takesPart()) {
      members.replaceSelf(members.self(), update);
    } else {
      members.replaceSelf(members.self().aliveWithIncarnation(update.incarnation() + 1), null);
    }
  }
}

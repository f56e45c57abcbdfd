package dunlinhitch.core;

import dunlinhitch.balancer.settings.CanonicalSettings;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.cluster.ClusterCoordinator;
import dunlinhitch.cluster.ClusterSnapshot;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.versions.SettingsDigest;
import dunlinhitch.cluster.versions.SkewVerdict;
import dunlinhitch.cluster.versions.VersionSkewDetector;
import dunlinhitch.cluster.versions.VersionVector;
import java.util.Set;

/**
 * Handles brokers whose settings or endpoint list are out of date, including this one: logs them,
 * refreshes this broker's own outdated versions, and fences brokers that do not catch up. Owned by
 * {@link ClusterStage}; not thread-safe.
 */
final class VersionSkewMonitor {
  private final TurnContext context;
  private final Counters counters;
  private final ClusterCoordinator coordinator;
  private final VersionSkewDetector detector;
  private final Runnable subsetListener;
  private final String self;
  private VersionVector versions;

  /**
   * Time at which the configuration file that the next reload will read was written, Unix time in
   * milliseconds.
   */
  private long fileWrittenMs;

  /** The cluster snapshot that the detector has processed. */
  private ClusterSnapshot lastSnapshot;

  private boolean fenced;

  /**
   * Creates the monitor.
   *
   * @param subsetListener called after each verdict, because a verdict may change the subset
   */
  VersionSkewMonitor(
      ClusterIdentity identity,
      ClusterCoordinator coordinator,
      ReducerState state,
      Runnable subsetListener) {
    context = state.context();
    counters = state.counters();
    this.coordinator = coordinator;
    this.subsetListener = subsetListener;
    self = identity.self().name();
    versions = identity.versions();
    detector = new VersionSkewDetector(identity.versionSkew(), self, versions);
    coordinator.membership().setVersions(versions);
    lastSnapshot = coordinator.snapshot();
  }

  /**
   * True while this broker's settings or endpoint list are too far out of date for safe decisions.
   * A fenced broker admits no queries.
   */
  boolean isFenced() {
    return fenced;
  }

  void onEndpointListGeneration(long generation) {
    publishVersions(versions.withEndpointListGeneration(generation));
  }

  void onConfigurationFileChanged(long writtenMs) {
    fileWrittenMs = writtenMs;
  }

  void onSettingsReloaded(Settings settings) {
    String digest = SettingsDigest.of(CanonicalSettings.of(settings));
    publishVersions(
        digest.equals(versions.settings())
            ? versions
            : versions.withSettings(digest, fileWrittenMs));
  }

  private void publishVersions(VersionVector current) {
    versions = current;
    coordinator.membership().setVersions(current);
    detector.onVersions(context.nowUs(), self, current);
  }

  void onGossip(GossipMessage message) {
    coordinator
        .snapshot()
        .member(message.from().name())
        .filter(member -> member.versions() != null)
        .ifPresent(
            member -> detector.onVersions(context.nowUs(), member.name(), member.versions()));
  }

  /** Advances the skew detector to the time of this turn. */
  void advance() {
    forgetDepartedMembers();
    if (detector.nextUs() <= context.nowUs()) {
      detector.verdicts(context.nowUs()).forEach(this::apply);
    }
  }

  long nextUs() {
    return detector.nextUs();
  }

  // snapshots are immutable and replaced as a whole, so comparing references is sufficient
  @SuppressWarnings("ReferenceEquality")
  private void forgetDepartedMembers() {
    if (lastSnapshot == coordinator.snapshot()) {
      return;
    }
    lastSnapshot = coordinator.snapshot();
    Set<String> members = lastSnapshot.names();
    detector.versionsByBroker().keySet().stream()
        .filter(name -> !members.contains(name))
        .forEach(name -> detector.onMemberLeft(context.nowUs(), name));
  }

  private void apply(SkewVerdict verdict) {
    boolean own = verdict.broker().equals(self);
    String subject = own ? "this broker" : "broker " + verdict.broker();
    switch (verdict.step()) {
      case SEEN -> {
        counters.add(Counter.VERSION_SKEWS_DETECTED);
        context.log(subject + " is out of date: " + describeSkew(verdict));
      }
      case BRING_UP -> context.emit(refreshOf(verdict));
      case SHUT_OUT -> {
        counters.add(Counter.BROKERS_FENCED);
        String consequence = own ? "; all queries are rejected until it is up to date" : "";
        context.log(subject + " is fenced: " + describeSkew(verdict) + consequence);
      }
      case CAUGHT_UP, LET_IN ->
          context.log(subject + " is up to date again: " + describeRecovery(verdict));
    }
    Set<String> fencedBrokers = detector.fenced();
    fenced = fencedBrokers.contains(self);
    coordinator.fence(fencedBrokers);
    subsetListener.run();
  }

  private static Effect refreshOf(SkewVerdict verdict) {
    return verdict.kind() == SkewVerdict.Kind.ROSTER
        ? new Effect.RefreshEndpoints()
        : new Effect.ReloadConfiguration();
  }

  private static String describeSkew(SkewVerdict verdict) {
    return "it uses "
        + kindOf(verdict)
        + " "
        + verdict.actual()
        + ", the newest is "
        + verdict.newest()
        + "; for "
        + verdict.skewUs() / 1000
        + " ms";
  }

  private static String describeRecovery(SkewVerdict verdict) {
    return kindOf(verdict) + " " + verdict.actual() + ", after " + verdict.skewUs() / 1000 + " ms";
  }

  private static String kindOf(SkewVerdict verdict) {
    return verdict.kind() == SkewVerdict.Kind.ROSTER ? "endpoint list" : "settings";
  }
}

package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.settings.Settings;
import java.util.function.Consumer;

/**
 * Reloaded configurations, the address of discovery, and the overlap of two processes in a hot
 * restart. Owned by the reducer; not thread-safe.
 */
final class ConfigurationStage {
  private final TurnContext context;
  private final Counters counters;
  private final TimerQueue timers;
  private final BalancerGateway balancer;
  private final ClassOutcomes outcomes;
  private final Consumer<Settings> settingsListener;

  /** Null where no class uses two phases. */
  private final FirstPassClasses firstPassClasses;

  private Event.DiscoveryConfigured discovery;
  private long overlapEndUs;

  /**
   * Creates the stage.
   *
   * @param firstPassClasses null where no class uses two phases
   * @param settingsListener is called with each reloaded configuration
   */
  ConfigurationStage(
      ReducerState state,
      BalancerGateway balancer,
      ClassOutcomes outcomes,
      FirstPassClasses firstPassClasses,
      Consumer<Settings> settingsListener) {
    context = state.context();
    counters = state.counters();
    timers = state.timers();
    this.balancer = balancer;
    this.outcomes = outcomes;
    this.firstPassClasses = firstPassClasses;
    this.settingsListener = settingsListener;
    addClasses();
  }

  /** The classes for first passes, null where no class uses two phases. */
  FirstPassClasses firstPassClasses() {
    return firstPassClasses;
  }

  void handle(Event.ConfigurationEvent event) {
    if (event instanceof Event.ConfigurationReloaded reloaded) {
      onReloaded(reloaded);
    } else if (event instanceof Event.DiscoveryConfigured configured) {
      onDiscoveryConfigured(configured);
    } else if (event instanceof Event.OverlapStarted started) {
      onOverlapStarted(started);
    }
  }

  /** The whole configuration takes effect at once; open queries keep the class they came under. */
  private void onReloaded(Event.ConfigurationReloaded event) {
    counters.add(Counter.CONFIGURATIONS_LOADED);
    context.setSettings(event.settings());
    addClasses();
    settingsListener.accept(event.settings());
    publishSettings();
    onDiscoveryConfigured(new Event.DiscoveryConfigured(event.host(), event.port()));
  }

  private void addClasses() {
    context.settings().classes().forEach(queryClass -> outcomes.addClass(queryClass.name()));
  }

  /** The present endpoint list stays in force until the new address has sent one. */
  private void onDiscoveryConfigured(Event.DiscoveryConfigured event) {
    if (!event.equals(discovery)) {
      counters.add(Counter.DISCOVERY_MOVED, discovery == null ? 0 : 1);
      discovery = event;
      context.emit(new Effect.ChangeDiscoveryAddress(event.host(), event.port()));
    }
  }

  private void onOverlapStarted(Event.OverlapStarted event) {
    overlapEndUs = event.untilUs();
    publishSettings();
    timers.schedule(overlapEndUs, TimerQueue.Kind.OVERLAP_END, overlapEndUs);
  }

  /** An overlap has ended; ignored where a later one has begun since. */
  void onOverlapEnd(long endUs) {
    if (endUs == overlapEndUs) {
      publishSettings();
    }
  }

  /**
   * Sends the settings to the load balancer. Quotas that all brokers share are divided among twice
   * as many while two processes of each may overlap.
   */
  void publishSettings() {
    Settings settings = balancerSettings();
    boolean overlapping = context.nowUs() < overlapEndUs;
    balancer.deliver(
        new BalancerEvent.SettingsChanged(
            overlapping ? settings.amongBrokers(2 * context.settings().brokers()) : settings));
  }

  /** The settings as the load balancer receives them. */
  Settings balancerSettings() {
    Settings settings = context.settings();
    return firstPassClasses == null ? settings : firstPassClasses.addTo(settings);
  }
}

package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.settings.Settings;
import java.util.function.Consumer;

/**
 * Handles configuration reloads, changes of the discovery address, and the overlap of two processes
 * during a hot restart. Owned by the reducer; not thread-safe.
 */
final class ConfigurationStage {
  private final TurnContext context;
  private final Counters counters;
  private final TimerQueue timers;
  private final BalancerGateway balancer;
  private final ClassOutcomes outcomes;
  private final Consumer<Settings> settingsListener;

  /** Null if no class uses two phases. */
  private final FirstPassClasses firstPassClasses;

  private Event.DiscoveryConfigured discovery;
  private long overlapEndUs;

  /**
   * Creates the stage.
   *
   * @param firstPassClasses null if no class uses two phases
   * @param settingsListener called with the settings of each reloaded configuration
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

  /** The additional classes for first passes; null if no class uses two phases. */
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

  /**
   * Applies the whole configuration at once. Open queries keep the class under which they were
   * admitted.
   */
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

  /**
   * Switches to a new discovery address. The current endpoint list stays in use until a list has
   * been received from the new address.
   */
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

  /** Ends an overlap, unless a later overlap has started in the meantime. */
  void onOverlapEnd(long endUs) {
    if (endUs == overlapEndUs) {
      publishSettings();
    }
  }

  /**
   * Sends the settings to the load balancer. During an overlap, quotas shared by all brokers are
   * divided by twice the number of brokers, because each broker may then run two processes.
   */
  void publishSettings() {
    Settings settings = balancerSettings();
    boolean overlapping = context.nowUs() < overlapEndUs;
    balancer.deliver(
        new BalancerEvent.SettingsChanged(
            overlapping ? settings.amongBrokers(2 * context.settings().brokers()) : settings));
  }

  /** Returns the current settings with the additional classes for first passes. */
  Settings balancerSettings() {
    Settings settings = context.settings();
    return firstPassClasses == null ? settings : firstPassClasses.addTo(settings);
  }
}

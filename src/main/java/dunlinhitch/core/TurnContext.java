package dunlinhitch.core;

import dunlinhitch.balancer.settings.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * What all stages of the reducer share within a turn: its time, the settings in force, the numbers
 * given to queries and parts, and the effects asked for so far. Owned by the reducer; not
 * thread-safe.
 */
final class TurnContext {
  private Settings settings;
  private long nowUs;
  private long unreadSinceUs;
  private int lastNumber;
  private List<Effect> effects = new ArrayList<>();

  TurnContext(Settings settings, long nowUs) {
    this.settings = settings;
    this.nowUs = nowUs;
  }

  /**
   * Begins a turn.
   *
   * @param turnUs the time of the turn, in microseconds; the reducer sees that it never runs back
   * @param eventsUnreadSinceUs since when its events may have waited unread, at most {@code turnUs}
   */
  void begin(long turnUs, long eventsUnreadSinceUs) {
    nowUs = turnUs;
    unreadSinceUs = eventsUnreadSinceUs;
  }

  /** The time of this turn, in microseconds. */
  long nowUs() {
    return nowUs;
  }

  /** Since when the events of this turn may have waited unread, in microseconds. */
  long unreadSinceUs() {
    return unreadSinceUs;
  }

  Settings settings() {
    return settings;
  }

  void setSettings(Settings reloaded) {
    settings = reloaded;
  }

  /** The next number for a query, a part or a sub-query; all share one sequence. */
  int nextNumber() {
    return ++lastNumber;
  }

  void emit(Effect effect) {
    effects.add(effect);
  }

  /** Leaves a line for the operators. */
  void log(String text) {
    effects.add(new Effect.LogMessage(text));
  }

  /** The effects asked for since the last call. */
  List<Effect> takeEffects() {
    List<Effect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /** The index of the class of that name in the settings, or -1. */
  int classIndex(String name) {
    for (int i = 0; i < settings.classes().size(); i++) {
      if (settings.classes().get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** The index of the tenant of that name, or -1: the unnamed one. */
  int tenantIndex(String name) {
    for (int i = 0; i < settings.tenants().size() && !name.isEmpty(); i++) {
      if (settings.tenants().get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }
}

package dunlinhitch.core;

import dunlinhitch.balancer.settings.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * The context shared by all stages of the reducer within a turn: the time, the current settings,
 * the sequence of numbers for queries and parts, and the effects emitted so far. Owned by the
 * reducer; not thread-safe.
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
   * @param turnUs the time of the turn, in microseconds; the reducer ensures that it never
   *     decreases
   * @param eventsUnreadSinceUs the earliest time, in microseconds, at which one of the turn's
   *     events may have arrived at an edge; at most {@code turnUs}
   */
  void begin(long turnUs, long eventsUnreadSinceUs) {
    nowUs = turnUs;
    unreadSinceUs = eventsUnreadSinceUs;
  }

  /** The time of this turn, in microseconds. */
  long nowUs() {
    return nowUs;
  }

  /**
   * The earliest time at which one of this turn's events may have arrived at an edge, in
   * microseconds.
   */
  long unreadSinceUs() {
    return unreadSinceUs;
  }

  Settings settings() {
    return settings;
  }

  void setSettings(Settings reloaded) {
    settings = reloaded;
  }

  /** Allocates the next number for a query, a part or a sub-query; all share one sequence. */
  int nextNumber() {
    return ++lastNumber;
  }

  void emit(Effect effect) {
    effects.add(effect);
  }

  /** Emits a log line for operators. */
  void log(String text) {
    effects.add(new Effect.LogMessage(text));
  }

  /** Removes and returns the effects emitted since the last call. */
  List<Effect> takeEffects() {
    List<Effect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /** Returns the index of the named class in the settings, or -1. */
  int classIndex(String name) {
    for (int i = 0; i < settings.classes().size(); i++) {
      if (settings.classes().get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /**
   * Returns the index of the named tenant in the settings, or -1 if the name is empty or unknown.
   */
  int tenantIndex(String name) {
    for (int i = 0; i < settings.tenants().size() && !name.isEmpty(); i++) {
      if (settings.tenants().get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }
}

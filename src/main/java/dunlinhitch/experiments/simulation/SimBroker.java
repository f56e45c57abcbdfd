package dunlinhitch.experiments.simulation;

import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.Reducer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The real reducer, decisions and membership on virtual time; turns are gathered as the loop of a
 * broker in service does.
 */
final class SimBroker {
  final int number;
  final Reducer reducer;
  private final Scheduler time;
  private final BiConsumer<SimBroker, Effect> edges;
  private List<Event> gathered = new ArrayList<>();
  private long lastTurnUs;
  private long wakeUs = Long.MAX_VALUE;
  private boolean dead;

  SimBroker(
      int number,
      Settings settings,
      long seed,
      Scheduler time,
      BiConsumer<SimBroker, Effect> edges) {
    this.number = number;
    this.time = time;
    this.edges = edges;
    reducer = new Reducer(settings, seed, time.now());
    wake(time.now());
  }

  boolean isDead() {
    return dead;
  }

  void die() {
    dead = true;
  }

  void accept(Event event) {
    if (!dead) {
      gathered.add(event);
      wake(lastTurnUs + reducer.settings().tickUs());
    }
  }

  private void wake(long dueUs) {
    if (dead || dueUs >= wakeUs) {
      return;
    }
    wakeUs = dueUs;
    time.at(dueUs, () -> turn(dueUs));
  }

  private void turn(long dueUs) {
    if (dead || dueUs != wakeUs) {
      return;
    }
    wakeUs = Long.MAX_VALUE;
    lastTurnUs = time.now();
    List<Event> events = gathered;
    gathered = new ArrayList<>();
    for (Effect effect : reducer.turn(lastTurnUs, events)) {
      if (effect instanceof Effect.ScheduleWakeUp e) {
        wake(Math.max(e.dueUs(), lastTurnUs + reducer.settings().tickUs()));
      } else {
        edges.accept(this, effect);
      }
    }
  }
}

package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.core.InFlightRegistry.PartRow;
import dunlinhitch.core.InFlightRegistry.QueryRow;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The reducer's stage for classes whose answer takes a second step: once the decisions close the
 * first, as many parts as the class says are opened at the shards with the highest scores among
 * those that are in, each of the same weight, and the client's answer is made of theirs. What the
 * first step had brought is fixed at that moment: nothing that comes later is named as in.
 */
final class SecondStep {
  /** What this needs of the reducer. */
  interface Host {
    int newNumber();

    void tell(BalancerEvent event);
  }

  private final InFlightRegistry tables;
  private final Counters counters;
  private final Host host;

  SecondStep(InFlightRegistry tables, Counters counters, Host host) {
    this.tables = tables;
    this.counters = counters;
    this.host = host;
  }

  /** True where an answer that the decisions give now only closes the first step. */
  static boolean follows(QueryRow q) {
    return q.firstStep == null && q.ask.kind().followUp() > 0;
  }

  /**
   * The first step is closed with what is in, {@code whole} or not; to be called when the decisions
   * have done with the event.
   */
  void open(QueryRow q, boolean whole) {
    List<PartRow> in = q.parts.stream().filter(part -> part.value != null).toList();
    q.parts.forEach(tables::over);
    q.firstStep = new Effect.FirstStep(in.stream().map(part -> part.ask.shard()).toList(), whole);
    List<PartRow> best = best(in, q.ask.kind());
    for (PartRow part : best) {
      PartRow next =
          new PartRow(
              host.newNumber(),
              q,
              new QueryRequest.PartRequest(part.ask.shard(), 1.0 / best.size(), 0));
      q.second.add(next);
      tables.parts.put(next.number, next);
    }
    counters.add(Counter.SECOND_STEPS);
    for (PartRow next : List.copyOf(q.second)) {
      host.tell(
          new BalancerEvent.PartArrived(
              next.number, q.number, next.ask.shard(), next.ask.weight(), 0));
    }
  }

  /**
   * The highest scores; those that are no number come last, and among equals the query's own order
   * holds.
   */
  private List<PartRow> best(List<PartRow> in, QueryClass kind) {
    counters.add(Counter.BAD_SCORES, in.stream().filter(part -> Double.isNaN(part.score)).count());
    List<PartRow> ranked = new ArrayList<>(in);
    ranked.sort(
        Comparator.comparingDouble(
                (PartRow part) -> Double.isNaN(part.score) ? Double.NEGATIVE_INFINITY : part.score)
            .reversed());
    return ranked.subList(0, Math.min(kind.followUp(), ranked.size()));
  }
}

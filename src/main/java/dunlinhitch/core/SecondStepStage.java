package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.settings.QueryClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Implements query classes with a second step. When the load balancer closes the first step, the
 * stage opens the configured number of parts, all with the same weight, at the shards whose values
 * have the highest scores. The response consists of the values of these parts. The result of the
 * first step is fixed at that point; later values are ignored. Owned by the reducer; not
 * thread-safe.
 */
final class SecondStepStage {
  private final TurnContext context;
  private final InFlightRegistry registry;
  private final Counters counters;
  private final BalancerGateway balancer;

  SecondStepStage(ReducerState state, BalancerGateway balancer) {
    context = state.context();
    registry = state.registry();
    counters = state.counters();
    this.balancer = balancer;
  }

  /**
   * True if the load balancer's next answer to the query closes its first step instead of the whole
   * query.
   */
  static boolean isDue(InFlightQuery query) {
    return query.firstStep == null && query.request.queryClass().followUp() > 0;
  }

  /**
   * Closes the first step and opens the second. Must not be called while the load balancer is
   * handling an event.
   *
   * @param complete whether the first step's answer was complete
   */
  void open(InFlightQuery query, boolean complete) {
    List<InFlightPart> served = query.parts.stream().filter(part -> part.value != null).toList();
    query.parts.forEach(registry::close);
    List<Integer> shards = served.stream().map(part -> part.request.shard()).toList();
    query.firstStep = new Effect.FirstStep(shards, complete);
    List<InFlightPart> selected = selectHighestScores(served, query.request.queryClass());
    for (InFlightPart part : selected) {
      QueryRequest.PartRequest request =
          new QueryRequest.PartRequest(part.request.shard(), 1.0 / selected.size(), 0);
      InFlightPart next = new InFlightPart(context.nextNumber(), query, request);
      query.secondStepParts.add(next);
      registry.parts.put(next.number, next);
    }
    counters.add(Counter.SECOND_STEPS);
    for (InFlightPart part : List.copyOf(query.secondStepParts)) {
      balancer.deliver(
          new BalancerEvent.PartArrived(
              part.number, query.number, part.request.shard(), part.request.weight(), 0));
    }
  }

  /**
   * Returns the parts with the highest scores, sorted by descending score. Parts without a numeric
   * score come last; parts with equal scores keep the order of the query.
   */
  private List<InFlightPart> selectHighestScores(List<InFlightPart> served, QueryClass queryClass) {
    long unranked = served.stream().filter(part -> Double.isNaN(part.score)).count();
    counters.add(Counter.SCORES_INVALID, unranked);
    List<InFlightPart> ranked = new ArrayList<>(served);
    ranked.sort(Comparator.comparingDouble(SecondStepStage::rank).reversed());
    return ranked.subList(0, Math.min(queryClass.followUp(), ranked.size()));
  }

  private static double rank(InFlightPart part) {
    return Double.isNaN(part.score) ? Double.NEGATIVE_INFINITY : part.score;
  }
}

package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerState;
import java.util.function.IntSupplier;

/**
 * Handles operator calls that disable an endpoint or enable it again. A disabled endpoint stays
 * disabled until an operator enables it, regardless of changes in the endpoint list. Owned by the
 * reducer; not thread-safe.
 */
final class OperatorStage {
  private final TurnContext context;
  private final InFlightRegistry registry;
  private final BalancerGateway balancer;
  private final AttemptStage attempts;
  private final IntSupplier newEndpointNumber;

  OperatorStage(
      ReducerState state,
      BalancerGateway balancer,
      AttemptStage attempts,
      IntSupplier newEndpointNumber) {
    context = state.context();
    registry = state.registry();
    this.balancer = balancer;
    this.attempts = attempts;
    this.newEndpointNumber = newEndpointNumber;
  }

  void handle(Event.OperatorEvent event) {
    if (event instanceof Event.EndpointDisableRequested requested) {
      onRequested(requested);
    } else if (event instanceof Event.DisabledEndpointsChanged changed) {
      changed.disabled().forEach(this::disable);
      changed.enabled().forEach(this::enable);
    }
  }

  private void onRequested(Event.EndpointDisableRequested event) {
    String name = event.endpoint();
    TrackedEndpoint endpoint = registry.endpointsByName.get(name);
    boolean listed = endpoint != null && endpoint.state() != ServerState.GONE;
    if (!listed && !registry.disabledEndpoints.containsKey(name)) {
      context.emit(new Effect.RejectUnknownEndpoint(event.call()));
      return;
    }
    if (event.disable()) {
      disable(name);
    } else {
      enable(name);
    }
    context.emit(new Effect.PersistDisabledEndpoint(event.call(), name, event.disable()));
  }

  private void disable(String name) {
    if (registry.disabledEndpoints.containsKey(name)) {
      return;
    }
    TrackedEndpoint endpoint = registry.endpointsByName.get(name);
    int number = endpoint == null ? newEndpointNumber.getAsInt() : endpoint.number;
    registry.disabledEndpoints.put(name, number);
    attempts.withdrawUnsent(number);
    context.log("store " + name + " administratively disabled by an operator");
    publish(number, endpoint, true);
  }

  private void enable(String name) {
    Integer number = registry.disabledEndpoints.remove(name);
    if (number == null) {
      return;
    }
    context.log("store " + name + " enabled again by an operator");
    publish(number, registry.endpointsByName.get(name), false);
  }

  private void publish(int number, TrackedEndpoint endpoint, boolean disabled) {
    if (endpoint != null) {
      context.emit(new Effect.EndpointChanged(number, endpoint.endpoint, disabled));
    }
    balancer.deliver(new BalancerEvent.ServerDisabled(number, disabled));
  }
}

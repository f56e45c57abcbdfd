package dunlinhitch.backend;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.endpoints.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The transports to all stores, each over the protocol of its endpoint. Executes the reducer's
 * effects on stores. Not thread-safe; used on the event loop only.
 */
public final class Backends {
  private record Backend(Endpoint endpoint, BackendTransport transport) {}

  private final Map<Integer, Backend> backends = new HashMap<>();

  /** Transports to former addresses of stores. Their attempts in flight may still complete. */
  private final List<BackendTransport> draining = new ArrayList<>();

  private final Function<Endpoint, BackendTransport> opener;
  private final Consumer<Event> events;

  /**
   * Creates a table without stores.
   *
   * @param opener makes the transport for an endpoint
   * @param events receives a failure for each attempt or health check whose store has no transport
   */
  public Backends(Function<Endpoint, BackendTransport> opener, Consumer<Event> events) {
    this.opener = opener;
    this.events = events;
  }

  /**
   * Applies a new or changed endpoint. A transport to a changed address or a removed store drains.
   *
   * @param disabled whether the store is administratively disabled
   */
  public void endpointChanged(int store, Endpoint endpoint, boolean disabled) {
    draining.removeIf(BackendTransport::isIdle);
    boolean removed = endpoint.state() == ServerState.GONE;
    Backend current = backends.get(store);
    if (current != null && (removed || !current.endpoint().sameAddress(endpoint))) {
      current.transport().updateState(ServerState.GONE);
      draining.add(current.transport());
      backends.remove(store);
      current = null;
    }
    if (removed) {
      return;
    }
    BackendTransport transport = current == null ? opener.apply(endpoint) : current.transport();
    transport.updateState(endpoint.state());
    transport.setDisabled(disabled);
    backends.put(store, new Backend(endpoint, transport));
  }

  /** Sends a call; its attempts fail at once if there is no transport to the store. */
  public void send(Effect.SendRequest request) {
    Backend backend = backends.get(request.endpoint());
    if (backend != null) {
      backend.transport().send(request.parts());
      return;
    }
    for (AttemptRequest part : request.parts()) {
      events.accept(Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.CONNECT_FAILED));
    }
  }

  /** Cancels an attempt, including one on a draining transport. */
  public void cancel(Effect.CancelAttempt cancellation) {
    Backend backend = backends.get(cancellation.endpoint());
    long attempt = cancellation.attempt();
    boolean confirm = cancellation.confirm();
    if (backend == null || !backend.transport().cancel(attempt, confirm)) {
      draining.forEach(transport -> transport.cancel(attempt, confirm));
    }
  }

  /**
   * Withdraws an attempt that was not sent. Draining transports are skipped, because they have no
   * unsent attempts.
   */
  public void withdraw(Effect.WithdrawAttempt withdrawal) {
    Backend backend = backends.get(withdrawal.endpoint());
    if (backend != null) {
      backend.transport().withdraw(withdrawal.attempt());
    }
  }

  /** Sends a health check, which fails at once if there is no transport to the store. */
  public void sendHealthCheck(Effect.SendHealthCheck healthCheck) {
    Backend backend = backends.get(healthCheck.endpoint());
    if (backend != null) {
      backend.transport().sendHealthCheck(healthCheck.healthCheck());
      return;
    }
    events.accept(
        new Event.HealthCheckCompleted(
            healthCheck.healthCheck(), AttemptOutcome.CONNECT_FAILED, new float[0]));
  }

  /** Closes the idle connections to a store. */
  public void closeIdleConnections(int store) {
    Backend backend = backends.get(store);
    if (backend != null) {
      backend.transport().closeIdleConnections();
    }
  }

  /** Closes all transports; attempts in flight complete with the outcome {@code RESET}. */
  public void close() {
    backends.values().forEach(backend -> backend.transport().close());
    backends.clear();
    draining.forEach(BackendTransport::close);
    draining.clear();
  }
}

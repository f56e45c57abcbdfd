package dunlinhitch.backend;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.endpoints.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/** The ways to all stores, each by what its roster entry says it speaks. */
public final class Backends {
  private record Way(Endpoint entry, BackendTransport transport) {}

  private final Map<Integer, Way> ways = new HashMap<>();
  private final List<BackendTransport> leaving = new ArrayList<>();
  private final Function<Endpoint, BackendTransport> opener;
  private final Consumer<Event> events;

  /** {@code opener} makes the transport for an entry. */
  public Backends(Function<Endpoint, BackendTransport> opener, Consumer<Event> events) {
    this.opener = opener;
    this.events = events;
  }

  public void changed(int store, Endpoint entry, boolean barred) {
    leaving.removeIf(BackendTransport::idle);
    Way old = ways.get(store);
    boolean moved = old != null && !old.entry().sameAddress(entry);
    if (old != null && (moved || entry.state() == ServerState.GONE)) {
      old.transport().state(ServerState.GONE);
      leaving.add(old.transport()); // what is out there may still come back, or be given up
      ways.remove(store);
      old = null;
    }
    if (entry.state() == ServerState.GONE) {
      return;
    }
    BackendTransport transport = old == null ? opener.apply(entry) : old.transport();
    transport.state(entry.state());
    transport.barred(barred);
    ways.put(store, new Way(entry, transport));
  }

  public void call(Effect.SendRequest call) {
    Way way = ways.get(call.store());
    if (way != null) {
      way.transport().call(call.parts());
    } else {
      call.parts()
          .forEach(
              p ->
                  events.accept(
                      Event.AttemptCompleted.of(p.attempt(), AttemptOutcome.CONNECT_FAILED)));
    }
  }

  public void giveUp(Effect.CancelAttempt giveUp) {
    Way way = ways.get(giveUp.store());
    if (way == null || !way.transport().giveUp(giveUp.attempt())) {
      leaving.forEach(transport -> transport.giveUp(giveUp.attempt()));
    }
  }

  public void withdraw(Effect.WithdrawAttempt withdraw) {
    Way way = ways.get(withdraw.store());
    if (way != null) { // what is being left has nothing any more that has not left
      way.transport().withdraw(withdraw.attempt());
    }
  }

  public void probe(Effect.SendHealthCheck probe) {
    Way way = ways.get(probe.store());
    if (way != null) {
      way.transport().probe(probe.probe());
    } else {
      events.accept(
          new Event.HealthCheckCompleted(
              probe.probe(), AttemptOutcome.CONNECT_FAILED, new float[0]));
    }
  }

  public void release(int store) {
    Way way = ways.get(store);
    if (way != null) {
      way.transport().release();
    }
  }

  public void close() {
    ways.values().forEach(way -> way.transport().close());
    ways.clear();
    leaving.forEach(BackendTransport::close);
    leaving.clear();
  }
}

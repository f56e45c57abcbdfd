package dunlinhitch.server;

import dunlinhitch.backend.BackendTransport;
import dunlinhitch.backend.LoadReportParser;
import dunlinhitch.backend.flight.FlightTransports;
import dunlinhitch.backend.frames.FrameTransport;
import dunlinhitch.core.Event;
import dunlinhitch.core.Reducer;
import dunlinhitch.endpoints.Endpoint;
import java.util.function.Consumer;

/** Opens the transport for the protocol of an endpoint. Runs on the event loop. */
final class BackendTransportFactory {
  private final BrokerRuntime runtime;
  private final Reducer reducer;
  private final Consumer<Event> events;
  private final LoadReportParser loadReportParser;
  private final FrameTransport.Shared frames;

  /** Null until an endpoint uses Arrow Flight, so that Arrow's classes are not loaded before. */
  private FlightTransports flightTransports;

  BackendTransportFactory(
      BrokerRuntime runtime, Reducer reducer, DescriptorBudget budget, Consumer<Event> events) {
    this.runtime = runtime;
    this.reducer = reducer;
    this.events = events;
    loadReportParser = new LoadReportParser(() -> reducer.settings().reportFields());
    frames =
        new FrameTransport.Shared(
            runtime.vertx(),
            () -> reducer.settings().limits(),
            budget::backendConnections,
            loadReportParser,
            runtime.clock(),
            events);
  }

  BackendTransport open(Endpoint endpoint) {
    if (endpoint.protocol() == Endpoint.Protocol.FRAMES) {
      return new FrameTransport(frames, endpoint);
    }
    if (flightTransports == null) {
      flightTransports =
          new FlightTransports(
              runtime.vertx(),
              runtime.context(),
              () -> reducer.settings().limits(),
              loadReportParser,
              runtime.clock(),
              events);
    }
    return flightTransports.open(endpoint);
  }

  /**
   * Releases the resources that the transports share; the transports themselves must already be
   * closed.
   */
  void close() {
    if (flightTransports != null) {
      flightTransports.close();
    }
  }
}

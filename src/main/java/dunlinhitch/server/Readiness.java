package dunlinhitch.server;

import dunlinhitch.core.MicroClock;
import dunlinhitch.core.Reducer;

/**
 * Determines the result of the readiness check. A broker is ready once it listens and has
 * endpoints, until it is asked to stop or is fenced. Owned by {@link Broker}; runs on the event
 * loop.
 */
final class Readiness {
  /**
   * Time without an answer from any source after which the initial or restored endpoint list is
   * used.
   */
  private static final long DISCOVERY_TIMEOUT_US = 1_000_000;

  private final EndpointSources endpointSources;
  private final Reducer reducer;
  private final MicroClock clock;
  private final long startUs;
  private boolean started;
  private boolean stopping;

  Readiness(EndpointSources endpointSources, Reducer reducer, MicroClock clock, long startUs) {
    this.endpointSources = endpointSources;
    this.reducer = reducer;
    this.clock = clock;
    this.startUs = startUs;
  }

  /** Records that all frontends listen. */
  void onStarted() {
    started = true;
  }

  /** Records that the broker was asked to stop. */
  void onStopping() {
    stopping = true;
  }

  boolean isStopping() {
    return stopping;
  }

  boolean isReady() {
    boolean hasEndpoints =
        endpointSources.anyAnswered()
            || (endpointSources.hasInitialEndpoints()
                && clock.getAsLong() - startUs > DISCOVERY_TIMEOUT_US);
    return started && hasEndpoints && !stopping && !reducer.isFenced();
  }
}

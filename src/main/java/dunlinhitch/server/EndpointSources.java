package dunlinhitch.server;

import dunlinhitch.config.Config;
import dunlinhitch.config.Product;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.Reducer;
import dunlinhitch.discovery.DiscoverySource;
import dunlinhitch.discovery.DiscoveryWatch;
import dunlinhitch.discovery.EndpointListReader;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * All configured sources of endpoints: the endpoint list in the configuration, the watch of the
 * platform's discovery service, and DNS service discovery if it is enabled. Runs on the event loop.
 */
final class EndpointSources {
  private final List<DiscoverySource> sources;

  /** Null if the product's settings file is absent, so that the DNS classes are not loaded. */
  private final DnsSources dnsSources;

  /**
   * True if the initial endpoint list contains endpoints. A broker that became ready with an empty
   * list would reject every query.
   */
  private final boolean hasInitialList;

  /** Creates the sources and passes on the initial endpoint list, if there is one. */
  EndpointSources(BrokerRuntime runtime, Reducer reducer, Consumer<Event> events) {
    Config config = runtime.config();
    EndpointListReader reader = new EndpointListReader(config.settings().zones(), events);
    Event.EndpointsUpdated initial =
        config.initialEndpoints().get("instances") == null
            ? null
            : reader.read(config.initialEndpoints(), true);
    hasInitialList = initial != null && !initial.endpoints().isEmpty();
    if (initial != null) {
      events.accept(initial);
    }
    List<DiscoverySource> all = new ArrayList<>();
    if (config.product().discovery()) {
      all.add(
          new DiscoveryWatch(
              runtime.vertx(),
              reducer::settings,
              config.seed(),
              config.initialEndpoints().getLong("generation", 0),
              reader,
              events,
              runtime.clock()));
    }
    dnsSources =
        hasProductFile(config)
            ? new DnsSources(runtime, reader, events, reducer::endpointRegistry)
            : null;
    if (dnsSources != null) {
      all.addAll(dnsSources.sources());
    }
    sources = List.copyOf(all);
  }

  /**
   * Returns whether the product's settings file exists. Compares by identity: an absent file is
   * represented by {@link Product#NONE}, and the content of an existing file may be equal to it.
   */
  @SuppressWarnings("ReferenceEquality")
  private static boolean hasProductFile(Config config) {
    return config.product() != Product.NONE;
  }

  /** Starts all sources. */
  void start() {
    sources.forEach(DiscoverySource::start);
    if (dnsSources != null) {
      dnsSources.start();
    }
  }

  /** Registers this broker, which now accepts clients, in DNS if that is configured. */
  void register() {
    if (dnsSources != null) {
      dnsSources.register();
    }
  }

  /** Withdraws the registration, so that new clients do not find this broker. */
  void deregister() {
    if (dnsSources != null) {
      dnsSources.deregister();
    }
  }

  /** Requests the complete endpoint list of each source again. */
  void resync() {
    sources.forEach(DiscoverySource::resync);
  }

  /** Follows the discovery service at its new address. */
  void changeAddress(Effect.ChangeDiscoveryAddress change) {
    sources.forEach(source -> source.follow(change.host(), change.port()));
  }

  /** Returns whether a source has sent its list since the start. */
  boolean anyAnswered() {
    return sources.stream().anyMatch(DiscoverySource::hasAnswered);
  }

  /** Returns whether endpoints are known from the initial list or from restored state. */
  boolean hasInitialEndpoints() {
    return hasInitialList || (dnsSources != null && dnsSources.restored());
  }

  /** Stops all sources; {@link #close} still saves their state. */
  void stop() {
    sources.forEach(DiscoverySource::stop);
  }

  /** Saves the last known state if it is persisted; the result completes when that is done. */
  Future<Void> close() {
    return dnsSources == null ? Future.succeededFuture() : dnsSources.close();
  }
}

package dunlinhitch.server;

import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.core.Event;
import dunlinhitch.discovery.DiscoverySource;
import dunlinhitch.discovery.EndpointListFile;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.discovery.dnssd.DnsDiscoverySource;
import dunlinhitch.discovery.dnssd.Names;
import dunlinhitch.discovery.dnssd.RecordRegistrar;
import dunlinhitch.discovery.dnssd.ServiceRecords;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.EndpointRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.xbill.DNS.Name;

/**
 * DNS service discovery as configured in the product's settings file: a source for each server and
 * service, the last known state on disk, and the registration of this broker in DNS. Created only
 * if the settings file exists, so that a broker without one does not load the DNS classes.
 *
 * <p>Runs on the event loop; the state is written on a worker thread.
 */
public final class DnsSources {
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final Vertx vertx;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final Consumer<String> log;
  private final Supplier<EndpointRegistry> endpointRegistry;
  private final List<DnsDiscoverySource> sources = new ArrayList<>();
  private final EndpointListFile file;

  /** Null if no state is saved to disk. */
  private final EndpointListSaver saver;

  private final RecordRegistrar registrar;
  private boolean restored;

  DnsSources(
      BrokerRuntime runtime,
      EndpointListReader reader,
      Consumer<Event> events,
      Supplier<EndpointRegistry> endpointRegistry) {
    vertx = runtime.vertx();
    clock = runtime.clock();
    log = runtime.log();
    this.events = events;
    this.endpointRegistry = endpointRegistry;
    Config config = runtime.config();
    Product product = config.product();
    for (Product.DnsService service : product.dnsSd()) {
      for (Address server : service.servers()) {
        sources.add(
            new DnsDiscoverySource(
                vertx, sourceSettings(service, server), reader, events, log, clock, config.seed()));
      }
    }
    file = product.stateDir() == null ? null : new EndpointListFile(product.stateDir());
    saver = file == null ? null : new EndpointListSaver(vertx, file, clock, events, log);
    registrar =
        product.announcement() == null
            ? null
            : new RecordRegistrar(vertx, registrarSettings(product.announcement()), clock, log);
  }

  /**
   * Returns the settings of the source for one service at one server.
   *
   * @throws Config.ConfigException if a name in the settings file is not a DNS name
   */
  public static DnsDiscoverySource.Settings sourceSettings(
      Product.DnsService service, Address server) {
    try {
      Name name = Names.parse(service.service());
      List<Name> browsed =
          service.subtypes().isEmpty()
              ? List.of(name)
              : service.subtypes().stream().map(subtype -> Names.subtype(subtype, name)).toList();
      Name zone = service.zone() == null ? Names.domain(name) : Names.parse(service.zone());
      String host = server.host().replaceAll("[\\[\\]]", "");
      DnsDiscoverySource.Push push =
          service.push() == null
              ? null
              : new DnsDiscoverySource.Push(
                  service.push().host(),
                  service.push().port(),
                  service.pushTrust(),
                  service.pushName());
      return new DnsDiscoverySource.Settings(
          "dns_sd " + service.name() + " at " + server.host() + ":" + server.port(),
          service.rank(),
          host,
          server.port(),
          name,
          browsed,
          zone,
          service.soaEveryUs(),
          push,
          new ServiceRecords.Limits(
              service.maxInstances(), ServiceRecords.Limits.STANDARD.maxQueriesInFlight()));
    } catch (IllegalArgumentException exception) {
      throw new Config.ConfigException(
          "[dns_sd " + service.name() + "]: " + exception.getMessage());
    }
  }

  private static RecordRegistrar.Settings registrarSettings(Product.Announcement registration) {
    try {
      return new RecordRegistrar.Settings(
          registration.server().host(),
          registration.server().port(),
          Names.parse(registration.zone()),
          Names.parse(registration.service()),
          registration.instance(),
          registration.target(),
          registration.address().host(),
          registration.address().port(),
          registration.txt(),
          registration.ttlUs(),
          registration.leaseUs(),
          registration.key() == null ? null : RecordRegistrar.readKeyFile(registration.key()));
    } catch (IOException | IllegalArgumentException exception) {
      throw new Config.ConfigException("[announce]: " + exception.getMessage());
    }
  }

  /** Returns the sources, in the order of the settings file. */
  List<? extends DiscoverySource> sources() {
    return sources;
  }

  /** Returns whether endpoints were restored from the state on disk. */
  boolean restored() {
    return restored;
  }

  /** Restores the last known state and saves it periodically from then on. */
  void start() {
    if (file == null) {
      return;
    }
    long nowUs = clock.getAsLong();
    try {
      EndpointListFile.Content saved = file.read(nowUs);
      if (saved != null) {
        restore(saved, nowUs);
      }
    } catch (IOException exception) {
      log.accept(exception.getMessage());
    }
    vertx.setPeriodic(
        EndpointListSaver.SAVE_INTERVAL_MS, t -> saver.saveIfChanged(endpointRegistry.get()));
  }

  /** Restores the saved claims of the sources that are still configured, with their ages. */
  private void restore(EndpointListFile.Content saved, long nowUs) {
    for (DnsDiscoverySource source : sources) {
      List<EndpointClaim> claims = saved.bySource().getOrDefault(source.name(), List.of());
      if (!claims.isEmpty()) {
        restored = true;
        source.restoreClaims(claims.stream().map(EndpointClaim::key).toList());
        events.accept(new Event.SourceUpdated(source.name(), false, claims));
        log.accept(
            source.name()
                + ": using "
                + claims.size()
                + " claims from the state saved "
                + Math.max(0, (nowUs - saved.savedUs()) / MICROS_PER_SECOND)
                + " s ago until the source answers");
      }
    }
  }

  /** Registers this broker, which now accepts clients, in DNS if that is configured. */
  void register() {
    if (registrar != null) {
      registrar.register();
    }
  }

  /** Withdraws the registration, as the first step of a shutdown. */
  void deregister() {
    if (registrar != null) {
      registrar.withdraw();
    }
  }

  /**
   * Ends the registration and saves the last known state; the result completes when it is written.
   */
  Future<Void> close() {
    if (registrar != null) {
      registrar.close();
    }
    return saver == null ? Future.succeededFuture() : saver.saveLast(endpointRegistry.get());
  }
}

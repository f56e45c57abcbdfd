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
import dunlinhitch.discovery.dnssd.Records;
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
 * What the product's own file asks for around the records of stores: a source for each server and
 * service, the last known state on disk, and the broker's own announcement. Only made where there
 * is such a file.
 */
public final class DnsSources {
  private static final long SAVE_EVERY_MS = 1_000;

  /** A state that has not changed is written again after so long, for its ages. */
  private static final long SAVE_UNCHANGED_US = 30_000_000;

  private final Vertx vertx;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final Consumer<String> log;
  private final Supplier<EndpointRegistry> membership;
  private final List<DnsDiscoverySource> sources = new ArrayList<>();
  private final EndpointListFile file;
  private final RecordRegistrar announcer;
  private boolean restored;
  private boolean saving;
  private boolean said;
  private long savedVersion = -1;
  private long savedUs;

  DnsSources(
      Vertx vertx,
      Config config,
      EndpointListReader reader,
      Consumer<Event> events,
      LongSupplier clock,
      Consumer<String> log,
      Supplier<EndpointRegistry> membership) {
    this.vertx = vertx;
    this.events = events;
    this.clock = clock;
    this.log = log;
    this.membership = membership;
    Product product = config.product();
    for (Product.DnsService service : product.dnsSd()) {
      for (Address server : service.servers()) {
        sources.add(
            new DnsDiscoverySource(
                vertx, settings(service, server), reader, events, log, clock, config.seed()));
      }
    }
    file = product.stateDir() == null ? null : new EndpointListFile(product.stateDir());
    announcer =
        product.announcement() == null
            ? null
            : new RecordRegistrar(vertx, announcement(product.announcement()), clock, log);
  }

  public static DnsDiscoverySource.Settings settings(Product.DnsService service, Address server) {
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
          new Records.Bounds(service.instances(), Records.Bounds.STANDARD.asking()));
    } catch (IllegalArgumentException e) {
      throw new Config.ConfigException("[dns_sd " + service.name() + "]: " + e.getMessage());
    }
  }

  private static RecordRegistrar.Settings announcement(Product.Announcement a) {
    try {
      return new RecordRegistrar.Settings(
          a.server().host(),
          a.server().port(),
          Names.parse(a.zone()),
          Names.parse(a.service()),
          a.instance(),
          a.target(),
          a.address().host(),
          a.address().port(),
          a.txt(),
          a.ttlUs(),
          a.leaseUs(),
          a.key() == null ? null : RecordRegistrar.key(a.key()));
    } catch (IOException | IllegalArgumentException e) {
      throw new Config.ConfigException("[announce]: " + e.getMessage());
    }
  }

  List<? extends DiscoverySource> sources() {
    return sources;
  }

  /** True where stores are known from before this process began. */
  boolean restored() {
    return restored;
  }

  void start() {
    if (file == null) {
      return;
    }
    long now = clock.getAsLong();
    try {
      EndpointListFile.Kept kept = file.read(now);
      if (kept != null) {
        restore(kept, now);
      }
    } catch (IOException e) {
      log.accept(e.getMessage());
    }
    vertx.setPeriodic(SAVE_EVERY_MS, t -> save());
  }

  /** Old words of the sources that are still used; how old they are, they bring along. */
  private void restore(EndpointListFile.Kept kept, long now) {
    for (DnsDiscoverySource source : sources) {
      List<EndpointClaim> claims = kept.bySource().getOrDefault(source.name(), List.of());
      if (!claims.isEmpty()) {
        restored = true;
        source.restored(claims.stream().map(EndpointClaim::key).toList());
        events.accept(new Event.SourceUpdated(source.name(), false, claims));
        log.accept(
            source.name()
                + ": "
                + claims.size()
                + " claims from "
                + Math.max(0, (now - kept.savedUs()) / 1_000_000)
                + " s ago hold until it speaks");
      }
    }
  }

  private Future<Void> save() {
    EndpointRegistry now = membership.get();
    long nowUs = clock.getAsLong();
    if (saving || (now.version() == savedVersion && nowUs < savedUs + SAVE_UNCHANGED_US)) {
      return Future.succeededFuture();
    }
    saving = true;
    savedVersion = now.version();
    savedUs = nowUs;
    List<EndpointRegistry.Row> rows = now.rows();
    return vertx
        .<Void>executeBlocking(
            () -> {
              file.write(nowUs, rows);
              return null;
            })
        .onComplete(
            done -> {
              saving = false;
              if (done.failed() && !said) {
                log.accept("the last known state can not be kept: " + done.cause());
              }
              said = done.failed();
            })
        .otherwiseEmpty();
  }

  /** The broker serves: it may be found. */
  void ready() {
    if (announcer != null) {
      announcer.ready();
    }
  }

  /** The broker is asked to end: first of all it must not be found any more. */
  void ending() {
    if (announcer != null) {
      announcer.withdraw();
    }
  }

  Future<Void> close() {
    if (announcer != null) {
      announcer.close();
    }
    return file == null ? Future.succeededFuture() : save();
  }
}

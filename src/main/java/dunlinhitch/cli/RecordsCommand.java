package dunlinhitch.cli;

import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.discovery.dnssd.DnsDiscoverySource;
import dunlinhitch.discovery.dnssd.ServiceRecords;
import dunlinhitch.endpoints.EndpointChange;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.EndpointRegistrySettings;
import dunlinhitch.endpoints.EndpointStatus;
import dunlinhitch.endpoints.TimingWheel;
import dunlinhitch.server.DnsSources;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Shows which endpoints a broker would discover from DNS records, using the broker's own record
 * reader and endpoint registry. Both run on one event loop; {@link #call} waits for the result.
 */
@Command(
    name = "records",
    description =
        "Shows the endpoints that a broker discovers from a service's DNS records, "
            + "and why records are not used.",
    mixinStandardHelpOptions = true)
final class RecordsCommand implements Callable<Integer> {
  /**
   * Delay in milliseconds after every server has answered or failed, before the table is printed.
   * In this time the registry can still resolve contradictory claims.
   */
  private static final long SETTLE_MS = 50;

  private static final long MICROS_PER_MILLI = 1000;

  @Option(
      names = "--server",
      required = true,
      description = "IP:PORT of a DNS server; can be repeated")
  private List<String> servers;

  @Option(
      names = "--service",
      required = true,
      description = "service name, such as _calendar._tcp.rooms.example.org")
  private String service;

  @Option(names = "--subtype", description = "uses only instances of this subtype; can be repeated")
  private List<String> subtypes = List.of();

  @Option(
      names = "--zones",
      split = ",",
      description = "zone names of the settings, in order (default: any)")
  private List<String> zones;

  @Option(
      names = "--cells",
      defaultValue = "1024",
      description = "number of cells in the layout (default: ${DEFAULT-VALUE})")
  private int cells;

  @Option(names = "--push", paramLabel = "<push>", description = "HOST:PORT of a DNS push server")
  private String pushServer;

  @Option(
      names = "--push-trust",
      paramLabel = "<pushTrust>",
      description = "PEM file of the certificate authorities trusted for the push server")
  private Path pushTrustFile;

  @Option(
      names = "--soa-every-ms",
      paramLabel = "<soaEveryMs>",
      defaultValue = "0",
      description =
          "with --watch: interval of SOA serial polls in ms (default: ${DEFAULT-VALUE}, no polls)")
  private long soaIntervalMs;

  @Option(
      names = "--within",
      paramLabel = "<withinS>",
      defaultValue = "3",
      description = "seconds to wait for the servers (default: ${DEFAULT-VALUE})")
  private int timeoutS;

  @Option(
      names = "--watch",
      description = "keeps running and prints changes until it is interrupted")
  private boolean watch;

  private final MicroClock clock = new MicroClock();
  private final List<DnsDiscoverySource> sources = new ArrayList<>();
  private final CountDownLatch settled = new CountDownLatch(1);
  private EndpointRegistry registry;
  private int completeLists;
  private int unavailableSources;
  private Vertx vertx;

  @Override
  public Integer call() throws InterruptedException {
    Product.DnsService requested = requestedService();
    if (cells < 1 || timeoutS < 1) {
      throw new Config.ConfigException(
          "--cells and --within must be 1 or more, found " + cells + " and " + timeoutS);
    }
    registry = new EndpointRegistry(EndpointRegistrySettings.of(cells, 1), clock.getAsLong());
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    vertx.getOrCreateContext().runOnContext(v -> startSources(requested));
    boolean allSettled = settled.await(timeoutS, TimeUnit.SECONDS);
    if (!printTable()) {
      vertx.close();
      throw new Config.ConfigException(
          "no answer from "
              + String.join(", ", servers)
              + " within "
              + timeoutS
              + " s; check that it is a DNS server for the domain of the service");
    }
    if (watch) {
      new CountDownLatch(1).await();
    }
    vertx.close();
    return allSettled && allUsable() ? 0 : 1;
  }

  private Product.DnsService requestedService() {
    return new Product.DnsService(
        "records",
        servers.stream().map(text -> Address.parse("--server", text)).toList(),
        service,
        subtypes,
        1,
        null,
        soaIntervalMs * MICROS_PER_MILLI,
        pushServer == null ? null : Address.parse("--push", pushServer),
        pushTrustFile,
        null,
        ServiceRecords.Limits.STANDARD.maxInstances());
  }

  private void startSources(Product.DnsService requested) {
    for (Address server : requested.servers()) {
      sources.add(
          new DnsDiscoverySource(
              vertx,
              DnsSources.sourceSettings(requested, server),
              new EndpointListReader(zones, event -> {}),
              this::onEvent,
              this::log,
              clock,
              0));
    }
    sources.forEach(DnsDiscoverySource::start);
  }

  private void log(String line) {
    if (watch) {
      System.out.println(line);
    }
  }

  /** Prints the table on the event loop; returns true if any server has answered. */
  private boolean printTable() throws InterruptedException {
    CountDownLatch printed = new CountDownLatch(1);
    boolean[] anyAnswered = {false};
    vertx.runOnContext(
        v -> {
          anyAnswered[0] = sources.stream().anyMatch(DnsDiscoverySource::hasAnswered);
          System.out.print(
              RecordsTable.format(registry, sources, servers.size() > 1, clock.getAsLong()));
          printed.countDown();
        });
    printed.await();
    return anyAnswered[0];
  }

  private boolean allUsable() {
    return registry.rows().stream()
        .allMatch(
            row -> row.status() == EndpointStatus.LIVE || row.status() == EndpointStatus.DRAINING);
  }

  private void onEvent(Event event) {
    long nowUs = clock.getAsLong();
    if (event instanceof Event.SourceRegistered registered) {
      registry.registerSource(registered.source(), registered.rank(), false);
    } else if (event instanceof Event.SourceUpdated update) {
      print(registry.update(nowUs, update.source(), update.complete(), update.claims()));
      completeLists += update.complete() ? 1 : 0;
    } else if (event instanceof Event.SourceUnavailable unavailable) {
      print(registry.sourceUnavailable(nowUs, unavailable.source()));
      unavailableSources++;
    }
    if (completeLists + unavailableSources >= servers.size()) {
      vertx.setTimer(SETTLE_MS, timer -> settled.countDown());
    }
    if (registry.nextUs() != TimingWheel.NEVER) {
      vertx.setTimer(
          MicroClock.timerMs(nowUs, registry.nextUs()),
          timer -> print(registry.advanceTo(clock.getAsLong())));
    }
  }

  private void print(List<EndpointChange> changes) {
    if (watch) {
      for (EndpointChange change : changes) {
        System.out.println(RecordsTable.formatChange(change, clock.getAsLong()));
      }
    }
  }
}

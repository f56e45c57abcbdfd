package dunlinhitch.cli;

import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.discovery.dnssd.DnsDiscoverySource;
import dunlinhitch.discovery.dnssd.Records;
import dunlinhitch.endpoints.Endpoint;
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
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * What the records of servers mean to a broker: the same reader and the same membership, without a
 * broker.
 */
@Command(
    name = "records",
    description = "Shows what the records of a service mean to the broker, and why a store is out.",
    mixinStandardHelpOptions = true)
final class RecordsCommand implements Callable<Integer> {
  private static final long SETTLED_MS = 50;

  @Option(
      names = "--server",
      required = true,
      description = "IP:PORT of a DNS server; may be given several times")
  private List<String> servers;

  @Option(
      names = "--service",
      required = true,
      description = "such as _calendar._tcp.rooms.example.org")
  private String service;

  @Option(names = "--subtype", description = "only instances of this subtype")
  private List<String> subtypes = List.of();

  @Option(names = "--zones", split = ",", description = "zones of the settings, in order (any)")
  private List<String> zones;

  @Option(
      names = "--cells",
      defaultValue = "1024",
      description = "cells of the layout (default: ${DEFAULT-VALUE})")
  private int cells;

  @Option(names = "--push", description = "HOST:PORT of a push server")
  private String push;

  @Option(names = "--push-trust", description = "PEM file of who may vouch for it")
  private Path pushTrust;

  @Option(
      names = "--soa-every-ms",
      defaultValue = "0",
      description = "with --watch: asks for the zone's serial so often")
  private long soaEveryMs;

  @Option(
      names = "--within",
      defaultValue = "3",
      description = "seconds that the servers may take (default: ${DEFAULT-VALUE})")
  private int withinS;

  @Option(
      names = "--watch",
      description = "goes on and prints changes as they are seen, until it is ended")
  private boolean watch;

  private final MicroClock clock = new MicroClock();
  private final List<DnsDiscoverySource> sources = new ArrayList<>();
  private final CountDownLatch settled = new CountDownLatch(1);
  private EndpointRegistry membership;
  private int whole;
  private int silent;
  private Vertx vertx;

  @Override
  public Integer call() throws InterruptedException {
    Product.DnsService asked =
        new Product.DnsService(
            "records",
            servers.stream().map(text -> Address.parse("--server", text)).toList(),
            service,
            subtypes,
            1,
            null,
            soaEveryMs * 1000,
            push == null ? null : Address.parse("--push", push),
            pushTrust,
            null,
            Records.Bounds.STANDARD.instances());
    if (cells < 1 || withinS < 1) {
      throw new Config.ConfigException("--cells and --within are 1 or more");
    }
    membership = new EndpointRegistry(EndpointRegistrySettings.of(cells, 1), clock.getAsLong());
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    vertx
        .getOrCreateContext()
        .runOnContext(
            v -> {
              for (Address server : asked.servers()) {
                DnsDiscoverySource source =
                    new DnsDiscoverySource(
                        vertx,
                        DnsSources.settings(asked, server),
                        new EndpointListReader(zones, event -> {}),
                        this::take,
                        line -> {
                          if (watch) {
                            System.out.println(line);
                          }
                        },
                        clock,
                        0);
                sources.add(source);
              }
              sources.forEach(DnsDiscoverySource::start);
            });
    boolean all = settled.await(withinS, TimeUnit.SECONDS);
    CountDownLatch printed = new CountDownLatch(1);
    boolean[] any = {false};
    vertx.runOnContext(
        v -> {
          any[0] = sources.stream().anyMatch(DnsDiscoverySource::answered);
          System.out.print(table());
          printed.countDown();
        });
    printed.await();
    if (!any[0]) {
      vertx.close();
      throw new Config.ConfigException(
          "no answer from "
              + String.join(", ", servers)
              + " within "
              + withinS
              + " s; is it a DNS server for that domain?");
    }
    if (watch) {
      new CountDownLatch(1).await();
    }
    vertx.close();
    return all
            && membership.rows().stream()
                .allMatch(
                    r -> r.status() == EndpointStatus.LIVE || r.status() == EndpointStatus.DRAINING)
        ? 0
        : 1;
  }

  private void take(Event event) {
    long now = clock.getAsLong();
    if (event instanceof Event.SourceRegistered e) {
      membership.named(e.source(), e.rank(), false);
    } else if (event instanceof Event.SourceUpdated e) {
      print(membership.said(now, e.source(), e.whole(), e.claims()));
      whole += e.whole() ? 1 : 0;
    } else if (event instanceof Event.SourceUnavailable e) {
      print(membership.silent(now, e.source()));
      silent++;
    }
    if (whole + silent >= servers.size()) {
      vertx.setTimer(SETTLED_MS, t -> settled.countDown());
    }
    if (membership.nextUs() != TimingWheel.NEVER) {
      vertx.setTimer(
          MicroClock.timerMs(now, membership.nextUs()),
          t -> print(membership.passed(clock.getAsLong())));
    }
  }

  private void print(List<EndpointChange> changes) {
    if (watch) {
      for (EndpointChange c : changes) {
        System.out.println(
            java.time.Instant.ofEpochMilli(clock.getAsLong() / 1000)
                + " "
                + c.entry().name()
                + " "
                + word(c.status())
                + ": "
                + c.reason().words());
      }
    }
  }

  private static String word(EndpointStatus status) {
    return status.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private String table() {
    StringBuilder out =
        new StringBuilder(
            String.format(
                "%-20s %-24s %5s %-9s %8s  %-12s %s%n",
                "store", "address", "cell", "says", "left", "status", "why"));
    long now = clock.getAsLong();
    membership.rows().stream()
        .sorted(Comparator.comparing(EndpointRegistry.Row::store))
        .forEach(
            row -> {
              Endpoint e = row.entry();
              String left =
                  row.untilUs() == TimingWheel.NEVER
                      ? "followed"
                      : row.untilUs() <= now ? "over" : (row.untilUs() - now) / 1_000_000 + " s";
              out.append(
                  String.format(
                      "%-20s %-24s %5s %-9s %8s  %-12s %s%s%n",
                      row.store(),
                      e == null ? "" : e.host() + ":" + e.port(),
                      e == null ? "" : e.cell(),
                      e == null ? "" : e.state().name().toLowerCase(Locale.ROOT),
                      left,
                      word(row.status()),
                      row.reason().words(),
                      servers.size() > 1 ? " [" + row.source() + "]" : ""));
            });
    for (DnsDiscoverySource source : sources) {
      for (Records.Shown shown : source.shown()) {
        if (!shown.trouble().isEmpty()) {
          out.append("instance \"")
              .append(shown.instance())
              .append("\" is of no use: ")
              .append(shown.trouble())
              .append('\n');
        }
      }
      out.append(source.name())
          .append(
              source.answered()
                  ? source.pushes() ? ": answers and pushes" : ": answers"
                  : ": does not answer")
          .append('\n');
    }
    return out.toString();
  }
}

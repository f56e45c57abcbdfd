package dunlinhitch.experiments.fakes;

import com.eclipsesource.json.Json;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Prices;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Rules;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import dunlinhitch.balancer.settings.Tenant;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.frontend.http.ClientListener;
import dunlinhitch.server.Broker;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A broker with fakes on loopback. The stores form two cells that both hold every shard, and both
 * frontends are enabled. The broker and the fakes share one event loop: if the broker blocked the
 * event loop, the fakes could not answer. The fields that configure the broker must be set before
 * {@link #start}.
 */
public final class BrokerFixture {
  public final Vertx vertx;
  public final Discovery discovery;
  public final ClientListener listener;
  public Broker broker;
  public int httpPort;
  public volatile int adminPort;

  /** Maximum number of sockets of the broker. */
  public int maxSockets = Config.DEFAULT_SOCKETS;

  /** Directory in which the broker stores its last known state, or null to store none. */
  public Path stateDirectory;

  /** What the broker registers in DNS, or null to register nothing. */
  public Product.Announcement announcement;

  /** Times of the endpoint registry, or null for the defaults. */
  public Product.MembershipTimes membershipTimes;

  /** Query classes that the broker executes in two passes. */
  public List<Product.TwoPhaseClass> twoPhaseClasses = List.of();

  /** Lines that the broker logged. */
  public final List<String> logLines = new java.util.concurrent.CopyOnWriteArrayList<>();

  /** Receives each logged line on the broker's event loop. */
  public java.util.function.Consumer<String> logListener = line -> {};

  /** Directory shared by the processes of a broker, or null. */
  public Path scratchDirectory;

  /** Creates the fakes; the broker will open its own listening socket. */
  public BrokerFixture() throws Exception {
    this(new ClientListener(null));
  }

  /** Creates the fakes; the broker will accept connections from the socket of {@code listener}. */
  public BrokerFixture(ClientListener listener) throws Exception {
    this.listener = listener;
    vertx =
        Vertx.builder()
            .withTransport(listener)
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    discovery = new Discovery(vertx);
  }

  /**
   * Returns settings like those of a deployment, but with shorter times: the latency objective is
   * 0.7 s, deadlines are 1.1 s.
   *
   * @param maxOpen maximum number of open queries
   */
  public static Settings settings(int maxOpen) {
    return new Settings(
        1,
        List.of("a", "b"),
        0,
        5_000,
        List.of(
            new QueryClass(
                "free-search",
                700_000,
                0,
                1_100_000,
                Idempotency.FREE,
                0.1,
                5_000_000,
                3,
                false,
                0,
                0.7,
                1,
                0.9),
            new QueryClass(
                "slot-booking",
                700_000,
                0,
                1_100_000,
                Idempotency.GUARDED,
                0.3,
                4_000_000,
                2,
                false,
                0,
                1,
                1,
                0.9)),
        List.of(),
        0.1,
        new ShardLayout(2, 2, 24, 8, 46_000),
        new Limits(4, maxOpen, true, true, false, true, 500_000, 250_000, 32, 15_000_000),
        new Rules(20_000, 10_000_000, -1, 0, 0, 0.15, 17_000_000, 3, 1_500_000, 250_000),
        new Prices(0, 0.012, 0.11, 0.03),
        false,
        true,
        true,
        List.of(LoadReportField.RECENT_MS, LoadReportField.BACKLOG),
        false);
  }

  /**
   * Returns the settings of {@link #settings} with two tenants and a two-step class {@code report}.
   * An answer to a query of this class requires all parts of both steps.
   */
  public static Settings twoSteps(int maxOpen) {
    Settings base = settings(maxOpen);
    List<QueryClass> classes = new java.util.ArrayList<>(base.classes());
    classes.add(
        new QueryClass(
            "report", 700_000, 0, 1_100_000, Idempotency.FREE, 0.1, 0, 3, false, 2, 1, 1, 0.9));
    return new Settings(
        base.brokers(),
        base.zones(),
        base.zone(),
        base.tickUs(),
        classes,
        List.of(new Tenant("north", 10, 0.6), new Tenant("south", 5, 0.4)),
        base.overQuotaWeight(),
        base.layout(),
        base.limits(),
        base.rules(),
        base.prices(),
        base.mustPollServerList(),
        base.reportsInAnswers(),
        base.reportsInHealthChecks(),
        base.reportFields(),
        base.clientsMarkRetries());
  }

  /** Starts the broker on free ports and waits until it is ready. */
  public void start(Settings settings, Product.DnsService dns) throws Exception {
    Address any = new Address("127.0.0.1", 0);
    Config config =
        new Config(
            "n0",
            any,
            any,
            new Address("127.0.0.1", discovery.port()),
            7,
            Json.object(),
            maxSockets,
            settings,
            product(any, dns),
            scratchDirectory,
            0);
    Context context = vertx.getOrCreateContext();
    CompletableFuture<Integer> port = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          try {
            broker =
                new Broker(
                    vertx,
                    context,
                    config,
                    line -> {
                      logLines.add(line);
                      logListener.accept(line);
                    },
                    listener);
            broker
                .listenForAdmin()
                .onSuccess(boundPort -> adminPort = boundPort)
                .compose(boundPort -> broker.start())
                .onSuccess(port::complete)
                .onFailure(port::completeExceptionally);
          } catch (RuntimeException | Error e) {
            port.completeExceptionally(e);
          }
        });
    httpPort = port.get(8, TimeUnit.SECONDS);
  }

  private Product product(Address flight, Product.DnsService dns) {
    return new Product(
        flight,
        dns == null,
        dns == null ? List.of() : List.of(dns),
        announcement,
        stateDirectory,
        membershipTimes,
        twoPhaseClasses,
        null);
  }

  /** Lists the stores alternately in both cells, all in the broker's zone, at equal cost. */
  public void publishStores(Store... stores) {
    String[] entries = new String[stores.length];
    for (int i = 0; i < stores.length; i++) {
      entries[i] = Discovery.entry(stores[i], "a", i % 2, "ready");
    }
    discovery.setList(entries);
  }

  /**
   * Returns the value of a counter of the broker; throws an exception if no counter has the name.
   */
  public long counter(String name) {
    return broker
        .counters()
        .lines()
        .filter(line -> line.startsWith(name + " "))
        .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
        .findFirst()
        .orElseThrow();
  }

  /** Starts a graceful shutdown of the broker; the future completes when the shutdown has ended. */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    vertx.runOnContext(v -> broker.stop().onComplete(done -> ended.complete(null)));
    return ended;
  }

  /** Closes the broker with all its channels, and then the event loop. */
  public void close() throws Exception {
    if (broker != null) {
      CompletableFuture<Void> ended = new CompletableFuture<>();
      vertx.runOnContext(v -> broker.close().onComplete(done -> ended.complete(null)));
      ended.completeOnTimeout(null, 5, TimeUnit.SECONDS).get(10, TimeUnit.SECONDS);
    }
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}

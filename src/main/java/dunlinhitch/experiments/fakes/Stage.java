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

/** A broker among stand-ins on loopback: two cells, each shard on both; both fronts on. */
public final class Stage {
  public final Vertx vertx;
  public final Discovery discovery;
  public final ClientListener listener;
  public Broker broker;
  public int httpPort;
  public volatile int adminPort;

  /** Descriptors that the broker may hold. */
  public int sockets = Config.DEFAULT_SOCKETS;

  /**
   * Where the last known state is kept, what is announced, and the times of the membership, or
   * null.
   */
  public Path stateDir;

  public Product.Announcement announcement;
  public Product.MembershipTimes times;
  public List<Product.TwoPhaseClass> phases = List.of();

  /** What the broker logged. */
  public final List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();

  /** Told of each line as it is logged, on the broker's loop. */
  public java.util.function.Consumer<String> onLog = line -> {};

  /** The folder that processes of the broker share. */
  public Path scratch;

  /** The peers share the broker's loop: a broker that blocked it would get no answer at all. */
  public Stage() throws Exception {
    this(new ClientListener(null));
  }

  /** The broker accepts from that socket. */
  public Stage(ClientListener listener) throws Exception {
    this.listener = listener;
    vertx =
        Vertx.builder()
            .withTransport(listener)
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    discovery = new Discovery(vertx);
  }

  /**
   * As the deployment's, with shorter times: aim 0.7 s, deadlines 1.1 s; {@code held} bounds what
   * is open.
   */
  public static Settings settings(int held) {
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
        new Limits(4, held, true, true, false, true, 500_000, 250_000, 32, 15_000_000),
        new Rules(20_000, 10_000_000, -1, 0, 0, 0.15, 17_000_000, 3, 1_500_000, 250_000),
        new Prices(0, 0.012, 0.11, 0.03),
        false,
        true,
        true,
        List.of(LoadReportField.RECENT_MS, LoadReportField.BACKLOG),
        false);
  }

  /**
   * The same with a class {@code report} of two steps, the second of two parts, whose answer wants
   * all of both; and with two tenants.
   */
  public static Settings twoSteps(int held) {
    Settings one = settings(held);
    List<QueryClass> classes = new java.util.ArrayList<>(one.classes());
    classes.add(
        new QueryClass(
            "report", 700_000, 0, 1_100_000, Idempotency.FREE, 0.1, 0, 3, false, 2, 1, 1, 0.9));
    return new Settings(
        one.brokers(),
        one.zones(),
        one.zone(),
        one.tickUs(),
        classes,
        List.of(new Tenant("north", 10, 0.6), new Tenant("south", 5, 0.4)),
        one.overQuotaWeight(),
        one.layout(),
        one.limits(),
        one.rules(),
        one.prices(),
        one.mustPollServerList(),
        one.reportsInAnswers(),
        one.reportsInHealthChecks(),
        one.reportFields(),
        one.clientsMarkRetries());
  }

  /** Starts the broker on ports of its own and waits until it is ready. */
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
            sockets,
            settings,
            product(any, dns),
            scratch,
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
                      log.add(line);
                      onLog.accept(line);
                    },
                    listener);
            broker
                .listenForAdmin()
                .onSuccess(desk -> adminPort = desk)
                .compose(desk -> broker.start())
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
        stateDir,
        times,
        phases,
        null);
  }

  /** Both stores hold every shard; their zone is the broker's, so that neither costs more. */
  public void list(Store... stores) {
    String[] entries = new String[stores.length];
    for (int i = 0; i < stores.length; i++) {
      entries[i] = Discovery.entry(stores[i], "a", i % 2, "ready");
    }
    discovery.list(entries);
  }

  /** A value of the broker's counters. */
  public long count(String name) {
    return broker
        .counters()
        .lines()
        .filter(line -> line.startsWith(name + " "))
        .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
        .findFirst()
        .orElseThrow();
  }

  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    vertx.runOnContext(v -> broker.stop().onComplete(done -> ended.complete(null)));
    return ended;
  }

  /**
   * The broker ends as it would without clients, so that no channel of its own is left; then the
   * loop.
   */
  public void close() throws Exception {
    if (broker != null) {
      CompletableFuture<Void> ended = new CompletableFuture<>();
      vertx.runOnContext(v -> broker.close().onComplete(done -> ended.complete(null)));
      ended.completeOnTimeout(null, 5, TimeUnit.SECONDS).get(10, TimeUnit.SECONDS);
    }
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}

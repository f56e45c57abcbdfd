package dunlinhitch.cli;

import dunlinhitch.config.Config;
import dunlinhitch.config.ConfigFile;
import dunlinhitch.config.SettingsReader;
import dunlinhitch.frontend.http.ClientListener;
import dunlinhitch.server.Broker;
import dunlinhitch.server.BuildVersion;
import dunlinhitch.server.HangupSignals;
import dunlinhitch.server.WarmUp;
import dunlinhitch.simulator.SimulatorAdapter;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneId;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command line; wires the parts up. */
@Command(
    name = "dunlinhitch",
    description = "A broker for sharded, replicated calendar stores.",
    mixinStandardHelpOptions = true,
    version = BuildVersion.TEXT,
    subcommands = {
      Main.Serve.class,
      Main.Drill.class,
      Main.Check.class,
      Main.Rehearse.class,
      RecordsCommand.class,
      Main.ShowVersion.class
    })
public final class Main {

  private static final String OWN = "deploy/dunlinhitch.conf";
  private static final String LAB = "dunlinhitch.experiments.ExperimentsCommand";
  private static final int REHEARSAL_S = 20;

  /** A new process beside an old one is waited for 6 s at the longest. */
  private static final long READY_BY_MS = 4_500;

  private static final int QUERIES_TO_LOAD = 20;
  private static final int QUERIES_TO_COMPILE = 300;
  private static final String REHEARSAL =
      """
            {"FailureDomains":["here"],"TickUs":1000,
             "Classes":[{"Name":"a","OnTimeUs":1000000,"DeadlineUs":2000000,"Idempotency":"free"}],
             "Domain":{"Positions":1,"InARow":1,"Shards":1,"PerCall":8},
             "Limits":{"MaxAttempts":4,"MayCancel":true,"MayProbe":true,"RetryAfter":true,"MaxRetryAfterUs":500000,
              "ConnectTimeoutUs":250000,"StreamsPerConn":32,"ConnIdleUs":15000000},
             "Report":{"Via":"answers","Fields":["recent_ms","backlog"]}}""";

  private Main() {}

  private static Vertx oneLoop(Transport transport) {
    return Vertx.builder()
        .withTransport(transport)
        .with(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                    new FileSystemOptions()
                        .setClassPathResolvingEnabled(false)
                        .setFileCachingEnabled(false)))
        .build();
  }

  /** Of this process; heeded before all else where it serves. */
  private static final HangupSignals HANG_UPS = new HangupSignals();

  public static void main(String[] arguments) {
    if (arguments.length > 0 && arguments[0].equals("serve") && !HANG_UPS.heed()) {
      System.out.println(
          "SIGHUP is ignored, as by nohup: the configuration will not be read again on it; start this by "
              + "'env --default-signal=HUP'");
    }
    int code =
        arguments.length == 1 && arguments[0].equals("serve")
            ? serve()
            : commandLine(arguments).execute(arguments);
    if (code != 0 || arguments.length == 0 || !arguments[0].equals("serve")) {
      System.out.flush();
      System.exit(code);
    }
  }

  /**
   * The platform's own command line, which has nothing to parse: to load what parses the others
   * took a fifth of the processor time of a start, and while a broker starts its clients have none.
   */
  private static int serve() {
    Serve serve = new Serve();
    serve.told = new Told();
    String file = System.getenv("ROUTER_CONFIG");
    serve.told.file = file == null ? null : Path.of(file);
    serve.told.own = Path.of(OWN);
    try {
      return serve.call();
    } catch (InterruptedException | RuntimeException e) {
      return complain(e);
    }
  }

  /**
   * What is wrong with a command line or a configuration is one line on standard error, and exit
   * code 2.
   */
  static CommandLine commandLine() {
    return new CommandLine(new Main())
        .setParameterExceptionHandler((e, a) -> complain(e))
        .setExecutionExceptionHandler((e, line, parsed) -> complain(e));
  }

  /** With the lab where it is asked for: nothing but its own command loads a class of it. */
  private static CommandLine commandLine(String[] arguments) {
    CommandLine line = commandLine();
    if (arguments.length > 0 && arguments[0].equals("lab")) {
      try {
        Object lab = Class.forName(LAB).getDeclaredConstructor().newInstance();
        line.addSubcommand(
            "lab",
            new CommandLine(lab)
                .setParameterExceptionHandler((e, a) -> complain(e))
                .setExecutionExceptionHandler((e, l, parsed) -> complain(e)));
      } catch (ReflectiveOperationException e) {
        throw new IllegalStateException(e);
      }
    }
    return line;
  }

  private static int complain(Exception e) {
    System.err.println(
        "dunlinhitch: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    return 2;
  }

  /** The options that say what a broker is told. */
  static final class Told {
    @Option(
        names = "--config",
        defaultValue = "${env:ROUTER_CONFIG}",
        description = "the configuration, as JSON")
    private Path file;

    @Option(
        names = "--conf",
        defaultValue = OWN,
        description = "the product's own settings (default: ${DEFAULT-VALUE}, if it is there)")
    private Path own;

    ConfigFile config() {
      if (file == null) {
        throw new Config.ConfigException("name a configuration with --config or ROUTER_CONFIG");
      }
      return new ConfigFile(file, own, System.getenv());
    }
  }

  @Command(
      name = "serve",
      description = "Runs one broker on real sockets until it is asked to end.",
      mixinStandardHelpOptions = true)
  static final class Serve implements Callable<Integer> {
    @Mixin private Told told;

    @Override
    public Integer call() throws InterruptedException {
      ConfigFile file = told.config();
      Config config = file.read();
      ZoneId.systemDefault()
          .getRules(); // the log asks for them, and can not read them once no descriptor is left
      ClientListener listener = listener();
      Vertx vertx = oneLoop(listener);
      Context context = vertx.getOrCreateContext();
      CountDownLatch started = new CountDownLatch(1);
      Throwable[] fault = {null};
      Broker[] broker = {null};
      context.runOnContext(
          v -> {
            try {
              broker[0] = new Broker(vertx, context, config, System.out::println, listener);
              broker[0].rereadBy(file::again);
              HANG_UPS.to(() -> context.runOnContext(again -> broker[0].reload(file::again)));
            } catch (RuntimeException | LinkageError e) {
              fault[0] = e;
              started.countDown();
              return;
            }
            broker[0]
                .openDesk()
                .compose(
                    desk ->
                        new WarmUp(
                                vertx,
                                context,
                                config.settings(),
                                config.listen().host(),
                                QUERIES_TO_COMPILE,
                                rehearsalEndUs())
                            .run())
                .compose(rehearsed -> broker[0].start())
                .onComplete(
                    bound -> {
                      fault[0] = bound.cause();
                      if (bound.succeeded()) {
                        System.out.println(
                            config.name()
                                + " listens on "
                                + config.listen().host()
                                + ":"
                                + bound.result());
                        config
                            .settings()
                            .classes()
                            .forEach(
                                kind ->
                                    System.out.println(
                                        "class "
                                            + kind.name()
                                            + ": aim "
                                            + kind.latencyObjectiveUs()
                                            + " us, deadline "
                                            + kind.deadlineUs()
                                            + " us"));
                      }
                      started.countDown();
                    });
          });
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    if (fault[0] == null) { // else it ends by itself, with the code that says so
                      finish(context, broker[0]);
                    }
                  },
                  "finish"));
      started.await();
      if (fault[0] != null) {
        throw new Config.ConfigException("cannot serve: " + fault[0].getMessage());
      }
      return 0;
    }

    /** The clients' listening socket, the platform's where that holds one. */
    private static ClientListener listener() {
      String descriptor = System.getenv("ROUTER_ACCEPT_FD");
      if (descriptor == null || descriptor.isEmpty()) {
        return new ClientListener(null);
      }
      if (!descriptor.equals("0")) {
        throw new Config.ConfigException("ROUTER_ACCEPT_FD is not 0: " + descriptor);
      }
      try {
        return ClientListener.inherited();
      } catch (IOException e) {
        throw new Config.ConfigException("ROUTER_ACCEPT_FD: " + e.getMessage());
      }
    }

    private static long rehearsalEndUs() {
      Instant began = ProcessHandle.current().info().startInstant().orElseGet(Instant::now);
      return (began.toEpochMilli() + READY_BY_MS) * 1000;
    }

    /** Holds the end of the process until all that was taken is answered. */
    private static void finish(Context context, Broker broker) {
      CountDownLatch ended = new CountDownLatch(1);
      if (broker == null) {
        return;
      }
      context.runOnContext(v -> broker.stop().onComplete(done -> ended.countDown()));
      try {
        boolean whole = ended.await(60, TimeUnit.SECONDS);
        System.out.print((whole ? "" : "ended with queries open\n") + broker.counters());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      System.out.flush();
      Runtime.getRuntime().halt(0);
    }
  }

  @Command(
      name = "drill",
      description = "Plays the decisions on the simulator's wire, over standard input and output.",
      mixinStandardHelpOptions = true)
  static final class Drill implements Callable<Integer> {
    @Override
    public Integer call() {
      return SimulatorAdapter.serve();
    }
  }

  @Command(
      name = "check",
      description = "Reads a configuration and the product's own settings, and says what holds.",
      mixinStandardHelpOptions = true)
  static final class Check implements Callable<Integer> {
    @Mixin private Told told;

    @Override
    public Integer call() {
      Config config = told.config().read();
      System.out.println(
          config.name()
              + ": "
              + config.settings().classes().size()
              + " classes, "
              + config.settings().layout().shards()
              + " shards, listens on "
              + config.listen().host()
              + ":"
              + config.listen().port());
      System.out.print(config.product().described());
      return 0;
    }
  }

  @Command(
      name = "rehearse",
      description =
          "Serves itself a query on loopback and ends; the build archives the "
              + "classes that this loads.",
      mixinStandardHelpOptions = true)
  static final class Rehearse implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException {
      Vertx vertx = oneLoop(Transport.NIO);
      Context context = vertx.getOrCreateContext();
      CountDownLatch ended = new CountDownLatch(1);
      boolean[] served = {false};
      context.runOnContext(
          v ->
              new WarmUp(
                      vertx,
                      context,
                      SettingsReader.read(REHEARSAL),
                      "127.0.0.1",
                      QUERIES_TO_LOAD,
                      Long.MAX_VALUE)
                  .run()
                  .onComplete(
                      answer -> {
                        served[0] = answer.succeeded() && answer.result() >= QUERIES_TO_LOAD;
                        ended.countDown();
                      }));
      boolean inTime = ended.await(REHEARSAL_S, TimeUnit.SECONDS);
      System.out.println(served[0] && inTime ? "served" : "not served");
      return served[0] && inTime ? 0 : 1;
    }
  }

  @Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
  static final class ShowVersion implements Callable<Integer> {
    @Override
    public Integer call() {
      System.out.println(BuildVersion.TEXT);
      return 0;
    }
  }
}

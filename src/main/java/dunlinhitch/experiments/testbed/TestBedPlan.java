package dunlinhitch.experiments.testbed;

import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.Vertx;

/**
 * The composition of a test bed.
 *
 * @param brokers number of broker processes
 * @param cells number of store cells
 * @param storesPerCell number of stores in each cell
 * @param settings the brokers' settings; a format string with the numbers of brokers, cells and
 *     shards in this order
 * @param cluster lines of the section {@code [fleet]} of each broker's settings file, null if the
 *     brokers form no cluster
 * @param stores creates the stores
 * @param launch how the broker processes are started
 */
public record TestBedPlan(
    int brokers,
    int cells,
    int storesPerCell,
    String settings,
    String cluster,
    StoreFactory stores,
    BrokerLaunch launch) {
  /** Settings with two query classes and short times for %d brokers, %d cells and %d shards. */
  @SuppressWarnings("InlineFormatString") // a text block is easier to read as a constant
  public static final String STANDARD_SETTINGS =
      """
            {"ReplicasOfMe":%d,"FailureDomains":["here"],"MyZone":0,"TickUs":5000,
             "Classes":[{"Name":"free-search","OnTimeUs":700000,"DeadlineUs":1500000,"Idempotency":"free","Points":3},
              {"Name":"slot-booking","OnTimeUs":700000,"DeadlineUs":1500000,"Idempotency":"guarded","DedupWindowUs":4000000,"Points":2}],
             "Domain":{"Positions":%d,"InARow":1,"Shards":%d,"PerCall":8},
             "Limits":{"MaxAttempts":4,"MostHeld":2000,"MayCancel":true,"MayProbe":true,"RetryAfter":true,"MaxRetryAfterUs":500000,
              "ConnectTimeoutUs":250000,"StreamsPerConn":32,"ConnIdleUs":15000000},
             "Rules":{"AnswerSlackUs":20000,"ColdFrom":0.15,"WarmAfterUs":17000000,"OverloadFactor":3,"FallUs":1500000,
              "DrainGraceUs":250000},
             "Report":{"Via":"answers","Fields":["recent_ms","backlog"]}}""";

  /** Creates the fake stores of a test bed. */
  public interface StoreFactory {
    /** Creates a store with this name that already listens. */
    FrameStore create(Vertx vertx, String name) throws Exception;
  }

  /** A plan whose broker processes are started in the standard way. */
  public TestBedPlan(
      int brokers,
      int cells,
      int storesPerCell,
      String settings,
      String cluster,
      StoreFactory stores) {
    this(brokers, cells, storesPerCell, settings, cluster, stores, BrokerLaunch.STANDARD);
  }
}

package dunlinhitch.experiments.answerkeys;

import dunlinhitch.answerkeys.Action;
import dunlinhitch.answerkeys.AnswerKeyModule;
import dunlinhitch.answerkeys.AnswerKeySettings;
import dunlinhitch.answerkeys.ClassCachePolicy;
import dunlinhitch.answerkeys.Evidence;
import dunlinhitch.answerkeys.LruCache;
import dunlinhitch.answerkeys.Rewrite;
import dunlinhitch.answerkeys.Rule;
import dunlinhitch.answerkeys.RuleEpoch;
import dunlinhitch.answerkeys.RuleSet;
import dunlinhitch.answerkeys.RuleState;
import dunlinhitch.answerkeys.RuleStatus;
import dunlinhitch.cluster.ReplicatedEntry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One broker of the simulation. It owns an answer key module and performs the actions that the
 * module returns.
 */
final class SimulatedBroker {
  static final AnswerKeySettings SETTINGS = AnswerKeySettings.STANDARD;
  static final long MAX_AGE_US = 3_000_000;
  private static final long OWNER_WAIT_US = 150_000;
  private static final long LATENCY_OBJECTIVE_US = 1_200_000;
  private static final long SEED_FACTOR = 1000;

  /** The rule that is incorrect once answers depend on the language. */
  private static final String LANGUAGE_RULE = "language";

  private static final String LOCATION = "model";
  private static final int MAX_GOSSIPED_ENTRIES = 30;
  private static final int URGENT_GOSSIP_FANOUT = 3;

  /**
   * Factor that is multiplied by the probability of message loss. The product is the probability
   * that a broker sends all entries to a peer again, see {@link #gossip}.
   */
  private static final int GOSSIP_LOSS_FACTOR = 2;

  private static final ClassCachePolicy CLASS_POLICY =
      new ClassCachePolicy(
          Workload.QUERY_CLASS,
          List.of("client", "language"),
          true,
          MAX_AGE_US,
          OWNER_WAIT_US,
          LATENCY_OBJECTIVE_US,
          LOCATION);
  private static final List<Rule> RULES =
      List.of(
          new Rule(
              "forms",
              Workload.QUERY_CLASS,
              1,
              List.of(
                  new Rewrite.DropVariant("client"),
                  new Rewrite.FoldCase(),
                  new Rewrite.FoldSpaces(),
                  new Rewrite.DropTerms(',', Set.of("app", "v1")),
                  new Rewrite.SortTerms(',')),
              LOCATION),
          new Rule(
              LANGUAGE_RULE,
              Workload.QUERY_CLASS,
              1,
              List.of(new Rewrite.DropVariant("language")),
              LOCATION));

  final String name;

  /** The side of a network partition, 0 or 1. */
  final int side;

  final AnswerKeyModule module;
  private final AnswerKeySimulation world;
  private final Map<Long, SimulatedQuery> queries = new HashMap<>();

  /** Version of the evidence that was last sent to each of the other brokers. */
  private final Map<String, Long> gossipedVersions = new HashMap<>();

  private long wakeUpUs = Long.MAX_VALUE;

  SimulatedBroker(AnswerKeySimulation world, AnswerKeySimulation.Setup setup, int number) {
    this.world = world;
    name = "n" + number;
    side = number % 2;
    module =
        new AnswerKeyModule(
            new RuleSet(
                List.of(CLASS_POLICY),
                setup.mode() == AnswerKeySimulation.Mode.RULES ? RULES : List.of()),
            SETTINGS,
            name,
            new SplittableRandom(setup.seed() * SEED_FACTOR + number),
            new LruCache<>(SETTINGS.limits().cacheBytes()));
  }

  void addQuery(long id, SimulatedQuery query) {
    queries.put(id, query);
  }

  SimulatedQuery query(long id) {
    return queries.get(id);
  }

  /** Performs the actions and schedules the next timer of the module. */
  void perform(List<Action> actions) {
    actions.forEach(this::perform);
    long nextUs = Math.max(world.nowUs() + 1, module.nextTimerUs(world.nowUs()));
    if (nextUs < wakeUpUs) {
      wakeUpUs = nextUs;
      world.schedule(nextUs, () -> wakeUp(nextUs));
    }
  }

  /**
   * Runs the timers of the module. Does nothing if the wake-up at {@code scheduledUs} has been
   * replaced by an earlier one.
   */
  private void wakeUp(long scheduledUs) {
    if (wakeUpUs == scheduledUs) {
      wakeUpUs = Long.MAX_VALUE;
      perform(module.onTimer(world.nowUs()));
    }
  }

  private void perform(Action action) {
    if (action instanceof Action.Bypass bypass) {
      world.bypass(this, bypass.query());
    } else if (action instanceof Action.Fetch fetch) {
      world.recordLeader(queries.get(fetch.query()));
      if (!fetch.adoptsRequest()) {
        world.fetch(this, fetch.query(), fetch.fetchId());
      }
    } else if (action instanceof Action.Respond respond) {
      world.respond(queries.get(respond.query()), respond.cached());
    } else if (action instanceof Action.Fail fail) {
      world.end(queries.get(fail.query()));
    } else if (action instanceof Action.GossipNow) {
      gossip(URGENT_GOSSIP_FANOUT);
    } else {
      sendToPeer(action);
    }
  }

  private void sendToPeer(Action action) {
    if (action instanceof Action.RequestFromOwner request) {
      world.send(
          this,
          request.owner(),
          peer ->
              peer.module.onPeerRequest(
                  world.nowUs(),
                  name,
                  request.fetchId(),
                  request.key(),
                  request.part(),
                  request.deadlineUs()));
    } else if (action instanceof Action.ReportToOwner report) {
      world.send(
          this,
          report.owner(),
          peer -> peer.module.onPeerReport(world.nowUs(), name, report.key(), report.cached()));
    } else if (action instanceof Action.ReplyToPeer reply) {
      world.send(
          this,
          reply.peer(),
          peer ->
              peer.module.onOwnerReply(
                  world.nowUs(),
                  name,
                  reply.fetchId(),
                  reply.key(),
                  reply.reply(),
                  reply.cached()));
    }
  }

  /**
   * Selects {@code fanout} random brokers and sends each of them the evidence that has changed
   * since this broker last sent evidence to it.
   */
  void gossip(int fanout) {
    for (int i = 0; i < fanout; i++) {
      SimulatedBroker other = world.randomBroker();
      long version = module.lifecycle().evidence().version();
      for (ReplicatedEntry<RuleEpoch, Evidence> entry :
          module
              .lifecycle()
              .evidence()
              .since(gossipedVersions.getOrDefault(other.name, 0L), MAX_GOSSIPED_ENTRIES)) {
        world.send(this, other.name, peer -> peer.module.mergeEvidence(world.nowUs(), entry));
      }
      // If a loss is drawn, the next gossip to this peer sends all entries again, because it starts
      // at version 0. This models anti-entropy, which detects lost entries and sends them again.
      boolean lost = world.drawsLoss(GOSSIP_LOSS_FACTOR);
      gossipedVersions.put(other.name, lost ? 0L : version);
    }
  }

  /** Returns true if this broker has stopped applying the rule {@code language}. */
  boolean hasDemotedLanguageRule() {
    return module.lifecycle().statuses().stream()
        .filter(status -> status.ruleEpoch().rule().equals(LANGUAGE_RULE))
        .map(RuleStatus::state)
        .anyMatch(state -> state == RuleState.SUSPECT || state == RuleState.WITHDRAWN);
  }
}

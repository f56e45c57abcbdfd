package dunlinhitch.answerkeys;

/**
 * A rule with the summed evidence of all brokers, as operators see it.
 *
 * @param proposals the number of requests whose key the rule would have changed
 * @param equalPairs the number of pairs of equal answers, bounded for each broker
 * @param shards the number of shards of these pairs
 * @param clientKinds the number of client kinds of these pairs
 * @param brokers the number of brokers that compared pairs
 * @param withdrawalReason empty if the rule is not withdrawn
 */
public record RuleStatus(
    RuleEpoch ruleEpoch,
    RuleState state,
    long proposals,
    long equalPairs,
    int shards,
    int clientKinds,
    int brokers,
    String withdrawalReason) {}

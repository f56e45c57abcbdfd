package dunlinhitch.answerkeys;

/**
 * The status of a rule for operators, with the total evidence of all brokers.
 *
 * @param proposals the number of requests whose key the rule would have changed
 * @param equalPairs the number of pairs of equal answers, with the pairs of each broker counted up
 *     to a limit
 * @param shards the number of different shards from which these pairs came
 * @param clientKinds the number of different client kinds from which these pairs came
 * @param brokers the number of brokers that compared pairs
 * @param withdrawalReason why the rule was withdrawn; empty if it was not
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

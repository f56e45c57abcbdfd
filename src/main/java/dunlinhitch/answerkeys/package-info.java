/**
 * Caching of answers for the brokers of a cluster, under keys that are equal for queries with equal
 * answers: rules that rewrite queries into a canonical form, shadow comparisons that collect
 * evidence about rules, and request coalescing.
 *
 * <p>Entry points: {@link dunlinhitch.answerkeys.AnswerKeyModule}, which takes events and returns
 * {@link dunlinhitch.answerkeys.Action}s, and {@link dunlinhitch.answerkeys.RuleSet}, which checks
 * rules. Pure: the package may use no clock, I/O or threads, and no other package of the project
 * than {@code cluster}. {@code serve} does not call it yet.
 */
package dunlinhitch.answerkeys;

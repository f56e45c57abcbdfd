/**
 * Caching of answers for the brokers of a cluster, under keys that are equal for queries with equal
 * answers. Contains the rules that rewrite queries into a canonical form, the shadow comparison
 * that collects evidence about rules, and request coalescing.
 *
 * <p>Entry points: {@link dunlinhitch.answerkeys.AnswerKeyModule}, which takes events and returns
 * {@link dunlinhitch.answerkeys.Action}s, and {@link dunlinhitch.answerkeys.RuleSet}, which checks
 * rules. Pure: no clock, I/O or threads. The only other package of the project that this package
 * may use is {@code cluster}. The command {@code serve} does not use this package yet.
 */
package dunlinhitch.answerkeys;

/**
 * Caching of answers under keys that are equal where answers are equal, for the brokers of one
 * cluster: rules that rewrite queries into a canonical form, shadow comparisons that give a rule
 * evidence, and request coalescing.
 *
 * <p>Entry points: {@link dunlinhitch.answerkeys.AnswerKeyModule} and {@link
 * dunlinhitch.answerkeys.RuleSet}. Pure: no clock, I/O or threads. {@code serve} does not call it
 * yet.
 */
package dunlinhitch.answerkeys;

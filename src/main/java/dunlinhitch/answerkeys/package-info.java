/**
 * Caching of answers under keys that are equal where answers are equal, for the brokers of one
 * cluster: rules that rewrite queries into a canonical form, shadow comparisons that give a rule
 * evidence, and request coalescing.
 *
 * <p>Entry points: {@link dunlinhitch.answerkeys.AnswerKeyModule}, which takes events and returns
 * {@link dunlinhitch.answerkeys.Action}s, and {@link dunlinhitch.answerkeys.RuleSet}, which checks
 * rules. Pure: the package may use no clock, I/O or threads, and of the other packages only {@code
 * cluster}. {@code serve} does not call it yet.
 */
package dunlinhitch.answerkeys;

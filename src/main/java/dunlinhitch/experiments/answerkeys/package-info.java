/**
 * A simulation, in virtual time, of brokers that share answers by answer keys.
 *
 * <p>Entry point: {@link dunlinhitch.experiments.answerkeys.AnswerKeySimulation}. Used by
 * measurements only; {@code serve} never loads this package. Its classes use no clock, I/O or
 * threads, and all randomness comes from the seed of the setup.
 */
package dunlinhitch.experiments.answerkeys;

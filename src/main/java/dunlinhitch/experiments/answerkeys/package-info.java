/**
 * A simulated cluster whose brokers share answer keys, on virtual time.
 *
 * <p>Entry point: {@link dunlinhitch.experiments.answerkeys.KeysWorld}. For measurements only:
 * {@code serve} never loads it. It may use no clock, I/O or threads; all randomness comes from the
 * seed of the setup.
 */
package dunlinhitch.experiments.answerkeys;

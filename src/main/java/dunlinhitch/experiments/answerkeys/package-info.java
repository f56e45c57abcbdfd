/** A simulated cluster whose brokers share answer keys, on virtual time. */
package dunlinhitch.experiments.answerkeys;

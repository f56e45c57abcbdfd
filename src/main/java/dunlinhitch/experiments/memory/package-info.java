/**
 * Memory of a broker process beside crowds of slow clients: the process is started by the deploy
 * file's command with limits in its settings, and the resident set and the files below its {@code
 * $TMPDIR} are measured from outside.
 *
 * <p>Entry points: {@link dunlinhitch.experiments.memory.MemoryCommand}; {@link
 * dunlinhitch.experiments.memory.MemoryRun} runs one sequence of crowds.
 */
package dunlinhitch.experiments.memory;

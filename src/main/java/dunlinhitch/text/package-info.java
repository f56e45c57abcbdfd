/**
 * Checks on texts that are received from outside: no text may be altered in silence, and none may
 * exhaust the stack of the thread that reads it.
 *
 * <p>Depends on no other package of the project.
 */
package dunlinhitch.text;

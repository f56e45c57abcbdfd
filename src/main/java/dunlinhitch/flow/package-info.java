/**
 * What one peer, and all peers together, may take of an event loop and of memory. Each edge of the
 * broker reads through this package; docs/budgets.md lists the budgets.
 */
package dunlinhitch.flow;

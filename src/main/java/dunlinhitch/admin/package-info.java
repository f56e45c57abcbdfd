/**
 * The operators' HTTP address: readiness, metrics, and administratively disabling and enabling
 * endpoints.
 *
 * <p>Entry points: {@link dunlinhitch.admin.AdminServer} serves the address, {@link
 * dunlinhitch.admin.DisabledEndpointFolder} stores the disabled endpoints across restarts and
 * shares them between overlapping processes of one broker.
 *
 * <p>The package passes operators' requests to the core as events and renders the core's status. It
 * makes no decisions about endpoints and does not use frontends or backends.
 */
package dunlinhitch.admin;

/**
 * The operators' HTTP address: readiness, metrics, and administratively disabling and enabling
 * endpoints.
 *
 * <p>Entry points: {@link dunlinhitch.admin.AdminServer} serves the address, {@link
 * dunlinhitch.admin.DisabledEndpointFolder} stores the disabled endpoints across restarts and
 * shares them between overlapping processes of one broker.
 *
 * <p>The package passes operators' requests on as events of the core and renders the core's status;
 * it decides nothing about endpoints itself and does not use frontends or backends.
 */
package dunlinhitch.admin;

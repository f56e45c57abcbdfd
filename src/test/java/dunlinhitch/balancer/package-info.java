/** Tests of the load balancer: one test class for each decision or estimate, on a virtual clock. */
package dunlinhitch.balancer;

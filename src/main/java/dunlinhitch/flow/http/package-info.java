/** Reading of HTTP/1.1 requests within the budgets of {@link dunlinhitch.flow}. */
package dunlinhitch.flow.http;

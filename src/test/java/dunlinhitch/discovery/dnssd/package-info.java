/** Tests of DNS-based service discovery without sockets. The server tests cover the sockets. */
package dunlinhitch.discovery.dnssd;

/** Tests of DNS-based service discovery, without sockets; the server tests cover the sockets. */
package dunlinhitch.discovery.dnssd;

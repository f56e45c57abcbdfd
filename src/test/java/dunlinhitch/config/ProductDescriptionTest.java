package dunlinhitch.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.config.Config.Address;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The summary that {@code check} prints. */
class ProductDescriptionTest {
  private static final Address ADDRESS = new Address("127.0.0.1", 8815);

  private static Product completeProduct() {
    return new Product(
        ADDRESS,
        false,
        List.of(
            new Product.DnsService(
                "rooms",
                List.of(ADDRESS, new Address("[::1]", 53)),
                "_c._tcp.example.org",
                List.of("west"),
                2,
                null,
                250_000,
                new Address("ns.example.org", 853),
                null,
                null,
                7)),
        new Product.Announcement(
            ADDRESS,
            "example.org",
            "_b._tcp.example.org",
            "east",
            "x",
            ADDRESS,
            List.of(),
            60_000_000,
            45_000_000,
            Path.of("key")),
        Path.of("state"),
        new Product.MembershipTimes(5_000_000, 86_400_000_000L, 400_000, 20_000_000, 120_000_000),
        List.of(new Product.TwoPhaseClass("free-search", 0.3, 4, 0.025, 0.01, 0.05, 60_000_000)),
        new Product.Cluster(
            ADDRESS,
            ADDRESS,
            List.of(ADDRESS),
            3,
            0.1,
            100_000,
            2_000_000,
            1_000_000,
            1_000_000,
            5_000_000));
  }

  @Test
  void isEmptyIfNothingIsEnabled() {
    assertEquals("", Product.NONE.description());
  }

  @Test
  void hasALineForEachSetting() {
    assertEquals(
        """
        discovery: not followed
        flight: listens on 127.0.0.1:8815
        dns_sd rooms: _c._tcp.example.org, subtype west, at 127.0.0.1:8815, at [::1]:53, rank 2, \
        push from ns.example.org:853, serial polled every 250 ms
        phases free-search: first pass takes at most 30 % of the latency objective; used for \
        queries with 4 or more blocks, audit 1.0 %, \
        trial 2.5 %
        fleet: listens for gossip on 127.0.0.1:8815, joins through 1 peers, uses at least 3 stores \
        of each cell, health check interval 1000 ms
        announce: east as _b._tcp.example.org at 127.0.0.1:8815, signed
        state: stored in state
        membership: linger 5000 ms, stale for 86400 s, hold 400 to 20000 ms, calm 120000 ms
        """,
        completeProduct().description());
  }
}

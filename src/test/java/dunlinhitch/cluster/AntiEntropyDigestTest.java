package dunlinhitch.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests of {@link AntiEntropyDigest}. */
class AntiEntropyDigestTest {
  /**
   * Brokers with different addresses for the same member have equal digests if the digest does not
   * cover addresses.
   */
  @Test
  void addressesAreLeftOutOfTheDigestWhereConfigured() {
    for (boolean addresses : new boolean[] {true, false}) {
      AntiEntropyDigest first = new AntiEntropyDigest(addresses);
      first.add(new Member("n1", "0", "10.0.0.1", 7400, 1, Member.Status.ALIVE));
      AntiEntropyDigest second = new AntiEntropyDigest(addresses);
      second.add(new Member("n1", "0", "127.0.0.1", 7411, 1, Member.Status.ALIVE));
      assertEquals(addresses, first.digest() != second.digest());
    }
  }
}

package dunlinhitch.cluster;

/**
 * What holds for the brokers together.
 *
 * @param subsets how many stores each keeps to
 * @param view the times of their view of each other
 * @param turnUs one of them probes one store so often, in microseconds
 * @param patienceUs the next in the row waits so long for the one before it, in microseconds
 * @param staleUs what was seen of a store says nothing after so long, in microseconds
 * @param mostStores stores that signals are kept of, at the most
 */
public record ClusterSettings(
    SubsetSettings subsets,
    MembershipProtocolSettings view,
    long turnUs,
    long patienceUs,
    long staleUs,
    int mostStores) {
  public static final ClusterSettings STANDARD =
      new ClusterSettings(
          SubsetSettings.STANDARD,
          MembershipProtocolSettings.STANDARD,
          2_000_000,
          800_000,
          6_000_000,
          10_000);

  public ClusterSettings {
    if (staleUs <= 0 || mostStores < 1) {
      throw new IllegalArgumentException(
          "signals last above 0 us and are kept of a store or more: "
              + staleUs
              + ", "
              + mostStores);
    }
  }
}

package dunlinhitch.cluster;

/**
 * The settings of a broker as a member of a cluster; times in microseconds.
 *
 * @param subsets how many endpoints each broker sends work to
 * @param membership the times and bounds of the membership protocol
 * @param epochUs the length of an epoch; in each epoch, one broker performs the health check of an
 *     endpoint
 * @param takeoverDelayUs how long a broker waits for its predecessor in the order of the {@link
 *     DutyRotation} before it performs the health check itself
 * @param maxAgeUs the age at which an observation expires
 * @param maxEndpoints the maximum number of endpoints with stored observations
 */
public record ClusterSettings(
    SubsetSettings subsets,
    MembershipProtocolSettings membership,
    long epochUs,
    long takeoverDelayUs,
    long maxAgeUs,
    int maxEndpoints) {
  /** The defaults: a health check every 2 s, and observations that expire after 6 s. */
  public static final ClusterSettings STANDARD =
      new ClusterSettings(
          SubsetSettings.STANDARD,
          MembershipProtocolSettings.STANDARD,
          2_000_000,
          800_000,
          6_000_000,
          10_000);

  /** Checks that {@code maxAgeUs} and {@code maxEndpoints} are positive. */
  public ClusterSettings {
    if (maxAgeUs <= 0 || maxEndpoints < 1) {
      throw new IllegalArgumentException(
          "maxAgeUs must be positive and maxEndpoints at least 1: got maxAgeUs "
              + maxAgeUs
              + " and maxEndpoints "
              + maxEndpoints);
    }
  }
}

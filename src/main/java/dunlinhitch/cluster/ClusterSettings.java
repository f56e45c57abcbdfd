package dunlinhitch.cluster;

/**
 * The settings of a broker as a member of a cluster; times in microseconds.
 *
 * @param subsets how many endpoints each broker sends work to
 * @param membership the times and bounds of the membership protocol
 * @param epochUs the epoch of health checks: in each epoch, one broker checks an endpoint
 * @param takeoverDelayUs how long each broker waits for the one before it to make a health check
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
  /** A health check every 2 s; observations expire after 6 s. */
  public static final ClusterSettings STANDARD =
      new ClusterSettings(
          SubsetSettings.STANDARD,
          MembershipProtocolSettings.STANDARD,
          2_000_000,
          800_000,
          6_000_000,
          10_000);

  /** Checks that observations can be stored. */
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

package dunlinhitch.endpoints;

import java.util.Objects;

/**
 * What a source says of one endpoint under a key of its own: an id on discovery's list, an instance
 * of DNS-SD, or one of two records that contradict each other.
 *
 * @param endpoint the claimed endpoint, or null: the claim is withdrawn
 * @param reportedUs when the source reported the claim (microseconds on the broker's clock; for a
 *     restored claim this may be before the process started)
 * @param expiresUs when the claim expires unless it is renewed, or {@link TimingWheel#NEVER}
 */
public record EndpointClaim(String key, Endpoint endpoint, long reportedUs, long expiresUs) {
  /** Checks that there is a key. */
  public EndpointClaim {
    Objects.requireNonNull(key, "key");
  }

  /** The withdrawal of the claim under that key. */
  public static EndpointClaim withdrawal(String key, long reportedUs) {
    return new EndpointClaim(key, null, reportedUs, TimingWheel.NEVER);
  }
}

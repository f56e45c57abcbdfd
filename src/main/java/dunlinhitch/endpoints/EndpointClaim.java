package dunlinhitch.endpoints;

import java.util.Objects;

/**
 * The description of one endpoint by a source, under a key that the source chooses: an id on the
 * list of discovery, a DNS-SD instance, or one of two contradicting records.
 *
 * @param endpoint the claimed endpoint, or null if the claim is withdrawn
 * @param reportedUs when the source reported the claim (microseconds on the broker's clock; for a
 *     restored claim this may be before the process started)
 * @param expiresUs when the claim expires unless it is renewed, or {@link TimingWheel#NEVER}
 */
public record EndpointClaim(String key, Endpoint endpoint, long reportedUs, long expiresUs) {
  /** Checks that there is a key. */
  public EndpointClaim {
    Objects.requireNonNull(key, "key");
  }

  /** Creates the withdrawal of the claim with the given key. */
  public static EndpointClaim withdrawal(String key, long reportedUs) {
    return new EndpointClaim(key, null, reportedUs, TimingWheel.NEVER);
  }
}

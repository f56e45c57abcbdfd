package dunlinhitch.endpoints;

import java.util.Objects;

/**
 * The description of one endpoint by a source, under a key that the source chooses. Depending on
 * the source, the key identifies an entry of the discovery service's list, a DNS-SD instance, or
 * one of two conflicting records.
 *
 * @param endpoint the claimed endpoint, or null if the claim is withdrawn
 * @param reportedUs when the source reported the claim, in microseconds of the broker's clock; for
 *     a restored claim, this may be before the start of the broker's process
 * @param expiresUs when the claim expires unless it is renewed, or {@link TimingWheel#NEVER}
 */
public record EndpointClaim(String key, Endpoint endpoint, long reportedUs, long expiresUs) {
  /** Checks that the key is not null. */
  public EndpointClaim {
    Objects.requireNonNull(key, "key");
  }

  /** Creates the withdrawal of the claim with the given key. */
  public static EndpointClaim withdrawal(String key, long reportedUs) {
    return new EndpointClaim(key, null, reportedUs, TimingWheel.NEVER);
  }
}

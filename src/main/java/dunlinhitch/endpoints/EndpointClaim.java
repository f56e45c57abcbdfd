package dunlinhitch.endpoints;

import java.util.Objects;

/**
 * What a source says of one store under one of its own names ({@code key}): an id on discovery's
 * list, an instance of DNS-SD, one of two records that contradict each other.
 *
 * @param entry what is said, or null: it is taken back
 * @param heardUs when the source said so (microseconds on the broker's clock, which for a restored
 *     claim may be before its start)
 * @param untilUs how long the word holds without being said again, or {@link TimingWheel#NEVER}
 */
public record EndpointClaim(String key, Endpoint entry, long heardUs, long untilUs) {
  public EndpointClaim {
    Objects.requireNonNull(key, "key");
  }

  /** The word under that name is taken back. */
  public static EndpointClaim back(String key, long heardUs) {
    return new EndpointClaim(key, null, heardUs, TimingWheel.NEVER);
  }
}

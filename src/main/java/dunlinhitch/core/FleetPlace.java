package dunlinhitch.core;

import dunlinhitch.audit.AuditRule;
import dunlinhitch.audit.Versions;
import dunlinhitch.fleet.FleetSettings;
import dunlinhitch.fleet.Peer;
import dunlinhitch.fleet.View;
import java.util.List;

/**
 * This broker's place among others.
 *
 * @param self as the others are to know it
 * @param seeds where others may be heard
 * @param settings what holds for all
 * @param dayOffsetUs what the day's clock is ahead of the loop's, in microseconds, as measured at
 *     the start
 * @param audit when a broker is a straggler
 * @param versions what it acts on at its start
 */
public record FleetPlace(
    Peer self,
    List<View.Seed> seeds,
    FleetSettings settings,
    long dayOffsetUs,
    AuditRule audit,
    Versions versions) {
  public FleetPlace {
    seeds = List.copyOf(seeds);
  }
}

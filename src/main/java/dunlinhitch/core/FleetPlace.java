package dunlinhitch.core;

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
 * @param dayOffsetUs what the day's clock is ahead of the loop's, in microseconds, as measured at the start
 */
public record FleetPlace(Peer self, List<View.Seed> seeds, FleetSettings settings, long dayOffsetUs) {
    public FleetPlace {
        seeds = List.copyOf(seeds);
    }
}

package dunlinhitch.fleet;

/**
 * The times of the brokers' view of each other, in microseconds.
 *
 * @param everyUs one other broker is asked whether it lives so often
 * @param answerUs an answer is waited for so long; then others are asked to ask
 * @param helpers how many others are asked to ask
 * @param suspectUs one that did not answer is suspected so long before it counts as dead
 * @param forgetUs a dead one is remembered so long, so that old word does not bring it back
 * @param mostPeers brokers that are known at once, at the most
 */
public record ViewSettings(long everyUs, long answerUs, int helpers, long suspectUs, long forgetUs, int mostPeers) {
    /** One look a 200 ms; with 8 brokers a dead one is out of the view after 0.2 to 3 s. */
    public static final ViewSettings STANDARD = new ViewSettings(200_000, 80_000, 2, 1_000_000, 30_000_000, 1024);

    public ViewSettings {
        if (everyUs <= 0 || answerUs <= 0 || 2 * answerUs > everyUs || helpers < 0 || suspectUs < everyUs || forgetUs < suspectUs
                || mostPeers < 1) {
            throw new IllegalArgumentException("an answer is waited for above 0 and at most half as long as between looks, a "
                    + "suspicion lasts one look or more, and the dead are remembered longer: every " + everyUs + ", answer "
                    + answerUs + ", suspect " + suspectUs + ", forget " + forgetUs + " us, helpers " + helpers + ", peers "
                    + mostPeers);
        }
    }
}

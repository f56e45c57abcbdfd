package dunlinhitch.discovery;

import dunlinhitch.balancer.settings.Settings;

/**
 * How long discovery is waited for, and how soon it is asked again. Where lists are pushed, an
 * agent of the broker's own machine answers at once and at no cost. Where discovery is asked, it is
 * one for all brokers, and slow.
 *
 * @param silentUs a watch on which nothing comes for so long is broken, not even the empty line of
 *     each 2 s
 * @param stalledUs an object that has begun is whole so soon, or the watch is broken
 * @param answerUs a call has failed where nothing came for so long; beside others that are out too,
 *     sooner
 * @param againUs beside a call that is not answered yet another is made after so long, where more
 *     than one may be out
 * @param mostCalls so many may be; then the oldest has failed
 * @param pauses between a watch that broke and the next call
 */
record WatchTimings(
    long silentUs,
    long stalledUs,
    long answerUs,
    long againUs,
    int mostCalls,
    Backoff.Bounds pauses) {
  private static final long SECOND_US = 1_000_000;

  /** The empty line comes each 2 s; what a watch misses counts as told 6 s after it fell silent. */
  private static final long SILENT_US = 2_600_000;

  private static final long STALLED_US = 2_500_000;
  private static final long ANSWER_US = 3_000_000;

  /**
   * After an outage what the agent has counts as told at once, and a call from before it may never
   * be answered. A drain's grace may be 250 ms: the news is to be read within half of that.
   */
  private static final long AGAIN_US = 120_000;

  private static final int MOST_CALLS = 8;
  private static final Backoff.Bounds OWN_AGENT = new Backoff.Bounds(60_000, 120_000);

  /**
   * A discovery that all share bears 1.4 calls a second and more: so far apart are one broker's,
   * for each broker.
   */
  private static final long APART_US = 1_250_000;

  /**
   * What discovery has counts as told 6 s after it could be reached, whatever failed before: a call
   * is made 4 s after the one before it at the latest, which leaves 2 s for its answer.
   */
  private static final long LONGEST_US = 4 * SECOND_US;

  /**
   * By what the settings say of discovery; further calls come in time for the span after which not
   * asking is no excuse.
   */
  static WatchTimings of(Settings settings) {
    if (!settings.mustPollServerList()) {
      return new WatchTimings(SILENT_US, STALLED_US, ANSWER_US, AGAIN_US, MOST_CALLS, OWN_AGENT);
    }
    long withinUs = settings.rules().pollWithinUs();
    long longestUs =
        Math.min(LONGEST_US, withinUs > 0 ? Math.max(SECOND_US, withinUs / 2) : LONGEST_US);
    long apartUs = Math.min(longestUs, settings.brokers() * APART_US);
    Backoff.Bounds pauses =
        new Backoff.Bounds(Math.max(SECOND_US / 10, apartUs / 4), Math.max(SECOND_US, apartUs));
    return new WatchTimings(SILENT_US, STALLED_US, ANSWER_US, 0, 1, pauses);
  }
}

package dunlinhitch.scoring.host;

import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.api.Scorer;

/**
 * A loaded scorer.
 *
 * @param digest digest of the jar file, used to detect changes
 */
record LoadedScorer(Scorer scorer, ScorerIdentity identity, String digest) {}

package dunlinhitch.scoring.host;

import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.api.Scorer;

/**
 * A scorer that was loaded.
 *
 * @param digest digest of the jar file, by which a change is detected
 */
record LoadedScorer(Scorer scorer, ScorerIdentity identity, String digest) {}

package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.Weights;
import java.util.Map;

/**
 * What an operator is shown.
 *
 * @param scorer who it is that judges now, or null
 * @param rounds sound rounds
 * @param costUs processor time of the last round
 * @param failures how often it was left out, by reason
 * @param words what was told of weights, by what became of it
 * @param dropped endings and words that found the inbox full
 * @param stuck threads of scorers that were let go and have not ended
 * @param trouble why it is left out and what can be done, or empty
 */
public record Figures(
    ScorerIdentity scorer,
    long rounds,
    long costUs,
    Map<Failure, Long> failures,
    Map<Weights.Took, Long> words,
    long dropped,
    int stuck,
    String trouble) {
  static final Figures NONE = new Figures(null, 0, 0, Map.of(), Map.of(), 0, 0, "");
}

package dunlinhitch.scoring.host;

import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.Scorer;
import java.util.ArrayList;
import java.util.List;

/** Calls a scorer for the rounds of all query classes; runs on the scorer's thread. */
final class RoundTask implements ScorerCall.Task<List<List<Judgement>>> {
  private final Scorer scorer;
  private final List<Round> rounds;

  RoundTask(Scorer scorer, List<Round> rounds) {
    this.scorer = scorer;
    this.rounds = rounds;
  }

  @Override
  public List<List<Judgement>> run() {
    List<List<Judgement>> judgements = new ArrayList<>();
    for (Round round : rounds) {
      judgements.add(copy(scorer.judge(round), round.candidates().size() + 1));
    }
    return judgements;
  }

  /**
   * Copies at most {@code limit} elements. The class of the list may belong to the plug-in. The
   * list must therefore be read on the scorer's thread, and it may return elements without end.
   */
  private static List<Judgement> copy(List<Judgement> judgements, int limit) {
    if (judgements == null) {
      return null;
    }
    List<Judgement> copy = new ArrayList<>();
    for (Judgement judgement : judgements) {
      if (copy.size() == limit) {
        break;
      }
      copy.add(judgement);
    }
    return copy;
  }
}

package dunlinhitch.scoring;

import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import java.util.List;

/** Checks what a scorer returned before anything of it is applied. */
final class JudgementValidator {
  private JudgementValidator() {}

  /** What is invalid in the judgements of these rounds; empty if nothing is. */
  static String findProblem(List<Round> rounds, List<List<Judgement>> judgements) {
    for (int index = 0; index < rounds.size(); index++) {
      String problem = findProblem(rounds.get(index), judgements.get(index));
      if (!problem.isEmpty()) {
        return problem;
      }
    }
    return "";
  }

  private static String findProblem(Round round, List<Judgement> judgements) {
    int expected = round.candidates().size();
    if (judgements == null) {
      return "no judgements of " + expected + " candidates";
    }
    if (judgements.size() != expected) {
      return judgements.size() + " judgements of " + expected + " candidates";
    }
    for (Judgement judgement : judgements) {
      if (!isValid(judgement)) {
        return "the judgement " + judgement;
      }
    }
    return "";
  }

  private static boolean isValid(Judgement judgement) {
    return judgement != null
        && judgement.factor() > 0
        && Double.isFinite(judgement.factor())
        && judgement.weight() > 0
        && Double.isFinite(judgement.weight())
        && judgement.evidence() >= 0;
  }
}

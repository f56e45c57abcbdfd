package dunlinhitch.scoring;

import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import java.util.List;

/** Validates the output of a scorer before any of it is applied. */
final class JudgementValidator {
  private JudgementValidator() {}

  /** Describes the first problem in the judgements of these rounds; empty if all are valid. */
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
      return "the scorer returned null, expected "
          + expected
          + " judgements, one for each candidate";
    }
    if (judgements.size() != expected) {
      return judgements.size() + " judgements, expected " + expected + ", one for each candidate";
    }
    for (Judgement judgement : judgements) {
      if (!isValid(judgement)) {
        return "factor and weight must be positive and finite, and evidence must not be negative; got "
            + judgement;
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

package org.example.scorer;

import dunlinhitch.scoring.api.Candidate;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.Scorer;
import dunlinhitch.scoring.api.ScoringApi;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Example scorer. It doubles the predicted work of a store whose last load report is above a
 * threshold, and adds a tenth for a store in another zone. It keeps no state between rounds and
 * shares no weights.
 */
public final class QuietFirst implements Scorer {
  private double threshold = 10;

  @Override
  public int api() {
    return ScoringApi.VERSION;
  }

  @Override
  public String name() {
    return "quiet-first";
  }

  @Override
  public String version() {
    return "1";
  }

  @Override
  public void begin(Map<String, String> parameters) {
    threshold = Double.parseDouble(parameters.getOrDefault("busy", "10"));
  }

  @Override
  public List<Judgement> judge(Round round) {
    List<Judgement> judgements = new ArrayList<>();
    for (Candidate candidate : round.candidates()) {
      boolean fresh = !candidate.report().isEmpty() && candidate.reportAgeUs() < round.aimUs();
      double factor = fresh && candidate.report().get(0) > threshold ? 2 : 1;
      judgements.add(Judgement.of(candidate.near() ? factor : factor * 1.1));
    }
    return judgements;
  }
}

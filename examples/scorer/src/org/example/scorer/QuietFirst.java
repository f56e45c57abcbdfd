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
 * A scorer to copy. A store whose last report is above a threshold counts for twice its predicted
 * work, one in another zone for a little more. It keeps nothing from round to round and shares
 * nothing.
 */
public final class QuietFirst implements Scorer {
  private double busy = 10;

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
    busy = Double.parseDouble(parameters.getOrDefault("busy", "10"));
  }

  @Override
  public List<Judgement> judge(Round round) {
    List<Judgement> said = new ArrayList<>();
    for (Candidate candidate : round.candidates()) {
      boolean fresh = !candidate.report().isEmpty() && candidate.reportAgeUs() < round.aimUs();
      double factor = fresh && candidate.report().get(0) > busy ? 2 : 1;
      said.add(Judgement.of(candidate.near() ? factor : factor * 1.1));
    }
    return said;
  }
}

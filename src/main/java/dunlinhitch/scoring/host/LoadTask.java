package dunlinhitch.scoring.host;

import dunlinhitch.scoring.ScorerSettings;

/** Locates, loads and initializes a scorer; runs on the thread of the new scorer. */
final class LoadTask implements ScorerCall.Task<LoadedScorer> {
  private final ScorerSettings settings;
  private final LoadedScorer active;

  /**
   * Creates the task.
   *
   * @param active the active scorer, or null
   */
  LoadTask(ScorerSettings settings, LoadedScorer active) {
    this.settings = settings;
    this.active = active;
  }

  /** Returns the same object as the active scorer if neither jar nor identity has changed. */
  @Override
  public LoadedScorer run() throws LoadException {
    LoadedScorer located = ScorerLocator.locate(settings);
    if (active != null
        && active.digest().equals(located.digest())
        && active.identity().equals(located.identity())) {
      return active;
    }
    located.scorer().begin(settings.parameters());
    return located;
  }
}

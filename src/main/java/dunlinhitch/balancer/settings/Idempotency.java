package dunlinhitch.balancer.settings;

/**
 * What may be done again: FREE anything, GUARDED within a window, SINGLE_SHOT only what never ran.
 */
public enum Idempotency {
  FREE,
  GUARDED,
  SINGLE_SHOT
}

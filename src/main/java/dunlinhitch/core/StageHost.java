package dunlinhitch.core;

import dunlinhitch.core.Tables.StoreRow;
import dunlinhitch.decide.Routing;

/**
 * What a stage may ask of the reducer. Of its own, for the reducer's class can not be linked
 * without it: a stage that is off is not loaded.
 */
interface StageHost {
  long now();

  void tell(Routing.Event event);

  /** The decisions learn of it in a later turn. */
  void owe(Routing.Event event);

  void probe(StoreRow store);

  void effect(Effect effect);
}

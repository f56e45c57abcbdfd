package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.core.InFlightRegistry.StoreRow;

/**
 * What a stage may ask of the reducer. Of its own, for the reducer's class can not be linked
 * without it: a stage that is off is not loaded.
 */
interface StageHost {
  long now();

  void tell(BalancerEvent event);

  /** The decisions learn of it in a later turn. */
  void owe(BalancerEvent event);

  void probe(StoreRow store);

  void effect(Effect effect);
}

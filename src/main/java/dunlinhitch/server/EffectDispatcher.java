package dunlinhitch.server;

import dunlinhitch.core.Effect;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Passes each effect of the reducer to the handler that is registered for its type. */
final class EffectDispatcher implements Consumer<Effect> {
  private final Map<Class<? extends Effect>, Consumer<Effect>> handlers = new HashMap<>();

  /** Registers the handler of one type of effect and returns this dispatcher. */
  <E extends Effect> EffectDispatcher on(Class<E> type, Consumer<? super E> handler) {
    handlers.put(type, effect -> handler.accept(type.cast(effect)));
    return this;
  }

  /**
   * Runs the handler of the effect's type.
   *
   * @throws IllegalStateException if there is no handler
   */
  @Override
  public void accept(Effect effect) {
    Consumer<Effect> handler = handlers.get(effect.getClass());
    if (handler == null) {
      throw new IllegalStateException("no handler registered for effect " + effect);
    }
    handler.accept(effect);
  }
}

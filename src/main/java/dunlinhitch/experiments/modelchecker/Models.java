package dunlinhitch.experiments.modelchecker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The registry of models by name. To add a module, implement {@link Subject} and register a factory
 * here.
 */
public final class Models {
  /** Offset of the clock that is ahead of the others, in microseconds. */
  private static final long CLOCK_OFFSET_US = 500;

  private static final Map<String, Supplier<Model<?, ?>>> FACTORIES = new LinkedHashMap<>();

  static {
    FACTORIES.put("view", () -> new ClusterModel<>(new MembershipSubject(1), membershipBudget(4)));
    FACTORIES.put(
        "view-start", () -> new ClusterModel<>(new MembershipSubject(1), membershipBudget(0)));
    FACTORIES.put(
        "facts",
        () -> new ClusterModel<>(new ReplicatedMapSubject(0, false), replicatedMapBudget()));
    FACTORIES.put(
        "facts-ties",
        () -> new ClusterModel<>(new ReplicatedMapSubject(0, true), replicatedMapBudget()));
    FACTORIES.put(
        "facts-ahead",
        () ->
            new ClusterModel<>(
                new ReplicatedMapSubject(CLOCK_OFFSET_US, false), replicatedMapBudget()));
  }

  private Models() {}

  /**
   * The fault budget of membership models. With 0 warm-up steps, the exploration begins in the
   * state in which all brokers have just started.
   */
  static ClusterModel.Budget membershipBudget(int warmUpSteps) {
    return new ClusterModel.Budget(warmUpSteps, 3, 0, 1, 2, 1, 1, 0);
  }

  /** The fault budget of models of the replicated map. */
  static ClusterModel.Budget replicatedMapBudget() {
    return new ClusterModel.Budget(0, 2, 2, 1, 1, 0, 1, 4);
  }

  /** Returns the names of all models. */
  public static List<String> names() {
    return List.copyOf(FACTORIES.keySet());
  }

  /**
   * Creates the model with the given name.
   *
   * @throws IllegalArgumentException if no model has the name; the message lists the valid names
   */
  public static Model<?, ?> create(String name) {
    Supplier<Model<?, ?>> model = FACTORIES.get(name);
    if (model == null) {
      throw new IllegalArgumentException(
          "unknown model: " + name + "; expected one of " + String.join(", ", names()));
    }
    return model.get();
  }
}

package dunlinhitch.experiments.modelchecker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The models by name. A module of another package joins in by a {@link Subject} and a line here.
 */
public final class Models {
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

  /** Views that have had so many steps to settle; 0: all start together. */
  static ClusterModel.Budget membershipBudget(int settled) {
    return new ClusterModel.Budget(settled, 3, 0, 1, 2, 1, 1, 0);
  }

  static ClusterModel.Budget replicatedMapBudget() {
    return new ClusterModel.Budget(0, 2, 2, 1, 1, 0, 1, 4);
  }

  public static List<String> names() {
    return List.copyOf(FACTORIES.keySet());
  }

  public static Model<?, ?> create(String name) {
    Supplier<Model<?, ?>> model = FACTORIES.get(name);
    if (model == null) {
      throw new IllegalArgumentException(
          "no such model: " + name + "; there is " + String.join(", ", names()));
    }
    return model.get();
  }
}

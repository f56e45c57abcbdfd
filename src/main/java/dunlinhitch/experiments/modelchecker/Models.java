package dunlinhitch.experiments.modelchecker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The models by name. A module of another package joins in by a {@link Subject} and a line here.
 */
public final class Models {
  private static final long AHEAD_US = 500;
  private static final Map<String, Supplier<Model<?, ?>>> ALL = new LinkedHashMap<>();

  static {
    ALL.put("view", () -> new Brokers<>(new MembershipSubject(1), view(4)));
    ALL.put("view-start", () -> new Brokers<>(new MembershipSubject(1), view(0)));
    ALL.put("facts", () -> new Brokers<>(new ReplicatedMapSubject(0, false), facts()));
    ALL.put("facts-ties", () -> new Brokers<>(new ReplicatedMapSubject(0, true), facts()));
    ALL.put("facts-ahead", () -> new Brokers<>(new ReplicatedMapSubject(AHEAD_US, false), facts()));
  }

  private Models() {}

  /** Views that have had so many steps to settle; 0: all start together. */
  static Brokers.Budget view(int settled) {
    return new Brokers.Budget(settled, 3, 0, 1, 2, 1, 1, 0);
  }

  static Brokers.Budget facts() {
    return new Brokers.Budget(0, 2, 2, 1, 1, 0, 1, 4);
  }

  public static List<String> names() {
    return List.copyOf(ALL.keySet());
  }

  public static Model<?, ?> of(String name) {
    Supplier<Model<?, ?>> model = ALL.get(name);
    if (model == null) {
      throw new IllegalArgumentException(
          "no such model: " + name + "; there is " + String.join(", ", names()));
    }
    return model.get();
  }
}

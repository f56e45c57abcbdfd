package dunlinhitch.scoring.api;

import java.util.List;
import java.util.Map;

/**
 * A scorer says of each store by what factor its predicted work should count more or less than it
 * does. The broker sends each part to the store with the least of predicted work times factor;
 * drains, cold budgets, attempts and cells are never a scorer's.
 *
 * <p>It is found by {@link java.util.ServiceLoader}, so its class is public, has a public
 * constructor without parameters, and is named in {@code
 * META-INF/services/dunlinhitch.scoring.api.Scorer}. All its methods are called on one thread,
 * which is not the one that serves queries: between two rounds the broker uses the last answer. A
 * scorer that throws, returns nonsense, is slow, does not return or holds memory is left out, and
 * tried again later.
 */
public interface Scorer extends AutoCloseable {
  /** The version that it was built for: {@code return ScoringApi.VERSION;}. */
  int api();

  /** What the settings name it by. */
  String name();

  /**
   * Brokers share weights only where name, version and parameters are the same: give what decides
   * otherwise another version.
   */
  String version();

  /**
   * Called once, before the first round, with the parameters of the settings. Throws where they are
   * of no use, and says why.
   */
  default void begin(Map<String, String> parameters) {}

  /**
   * One judgement for each candidate, in the order of the candidates. Returns in milliseconds, and
   * heeds an interrupt.
   */
  List<Judgement> judge(Round round);

  /** Called once, after the last round. */
  @Override
  default void close() {}
}

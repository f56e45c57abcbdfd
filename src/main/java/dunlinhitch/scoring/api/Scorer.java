package dunlinhitch.scoring.api;

import java.util.List;
import java.util.Map;

/**
 * A plug-in that corrects the predicted work of endpoints by a factor. The broker sends each part
 * to the endpoint with the smallest product of predicted work and factor. A scorer does not affect
 * draining, slow start, the number of attempts or the assignment of cells.
 *
 * <p>It is located by {@link java.util.ServiceLoader}, so its class must be public, have a public
 * constructor without parameters, and be listed in {@code
 * META-INF/services/dunlinhitch.scoring.api.Scorer}. All methods are called on a single thread
 * other than the one that serves queries; between rounds the broker uses the last output. A scorer
 * that throws an exception, returns invalid output, is slow, does not return or uses too much
 * memory is ejected and retried after a backoff.
 */
public interface Scorer extends AutoCloseable {
  /**
   * The interface version that the scorer was built for; implement this method as {@code return
   * ScoringApi.VERSION;}.
   */
  int api();

  /** The name that identifies the scorer in the settings. */
  String name();

  /**
   * The version of its algorithm. Brokers share weights only between scorers of the same name,
   * version and parameters, so the version must change whenever the output changes.
   */
  String version();

  /**
   * Called once before the first round with the parameters from the settings. An implementation
   * throws an exception with a message if the parameters are invalid.
   */
  default void begin(Map<String, String> parameters) {}

  /**
   * Returns one judgement for each candidate, in the order of the candidates. Must return within
   * milliseconds and respond to interrupts.
   */
  List<Judgement> judge(Round round);

  /** Called once after the last round. */
  @Override
  default void close() {}
}

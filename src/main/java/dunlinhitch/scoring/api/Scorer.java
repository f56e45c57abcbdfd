package dunlinhitch.scoring.api;

import java.util.List;
import java.util.Map;

/**
 * A plug-in that corrects the predicted work of endpoints by a factor. The broker sends each part
 * to the endpoint with the least product of predicted work and factor; draining, slow start,
 * attempts and cells are not affected by a scorer.
 *
 * <p>It is located by {@link java.util.ServiceLoader}, so its class is public, has a public
 * constructor without parameters, and is named in {@code
 * META-INF/services/dunlinhitch.scoring.api.Scorer}. All its methods are called on one thread,
 * which is not the one that serves queries: between two rounds the broker uses the last output. A
 * scorer that throws, returns invalid output, is slow, does not return or uses too much memory is
 * ejected, and retried after a backoff.
 */
public interface Scorer extends AutoCloseable {
  /** The interface version that it was built for: {@code return ScoringApi.VERSION;}. */
  int api();

  /** The name by which the settings refer to it. */
  String name();

  /**
   * The version of its algorithm. Brokers share weights only where name, version and parameters are
   * the same: change the version whenever the output changes.
   */
  String version();

  /**
   * Called once, before the first round, with the parameters of the settings. Throws an exception
   * with a message if they are invalid.
   */
  default void begin(Map<String, String> parameters) {}

  /**
   * One judgement for each candidate, in the order of the candidates. Must return within
   * milliseconds and respond to interrupts.
   */
  List<Judgement> judge(Round round);

  /** Called once, after the last round. */
  @Override
  default void close() {}
}

package dunlinhitch.experiments.answerkeys;

import dunlinhitch.answerkeys.PartQuery;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Generates the queries of the simulation. The popularity of topics follows Zipf's law. Four kinds
 * of clients format the same topic differently in the text of a query.
 */
final class Workload {
  static final String QUERY_CLASS = "free-search";
  static final int SHARDS = 12;
  private static final int TOPICS = 200;
  private static final double ZIPF_EXPONENT = 1.1;
  private static final double ARABIC_SHARE = 0.25;

  /** Number of halls; a topic combines a hall and a voice. */
  private static final int HALLS = 20;

  private static final String[] CLIENT_KINDS = {"phone", "kiosk", "planner", "old"};

  /** A part and its topic. */
  record Request(int topic, PartQuery part) {}

  private final double[] cumulativeWeights = new double[TOPICS];

  Workload() {
    double sum = 0;
    for (int i = 0; i < TOPICS; i++) {
      sum += Math.pow(i + 1, -ZIPF_EXPONENT);
      cumulativeWeights[i] = sum;
    }
  }

  Request next(SplittableRandom random) {
    double draw = random.nextDouble() * cumulativeWeights[TOPICS - 1];
    int topic = 0;
    while (cumulativeWeights[topic] < draw) {
      topic++;
    }
    String kind = CLIENT_KINDS[random.nextInt(CLIENT_KINDS.length)];
    String language = random.nextDouble() < ARABIC_SHARE ? "ar" : "en";
    PartQuery part =
        new PartQuery(
            QUERY_CLASS,
            "",
            random.nextInt(SHARDS),
            text(topic, kind),
            Map.of("client", kind, "language", language),
            kind,
            false);
    return new Request(topic, part);
  }

  private static String text(int topic, String kind) {
    String hall = "hall=h" + topic % HALLS;
    String voice = "voice=v" + topic / HALLS;
    return switch (kind) {
      case "phone" -> hall + "," + voice + ",app";
      case "kiosk" -> (voice + "," + hall).toUpperCase(Locale.ROOT);
      case "planner" -> voice + " , " + hall + " ";
      default -> "v1," + hall + "," + voice;
    };
  }
}

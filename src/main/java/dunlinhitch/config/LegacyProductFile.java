package dunlinhitch.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.file.Path;

/**
 * Translates a product settings file in the former JSON format into directives of the current
 * format, which are shown in an error message.
 */
final class LegacyProductFile {
  private LegacyProductFile() {}

  /** Returns the directives that replace the file's content, as one line of text. */
  static String asDirectives(Path file) {
    JsonObject root = ConfigReader.parse(file);
    StringBuilder out = new StringBuilder();
    JsonValue flight = root.get("flight");
    if (flight != null && flight.isObject()) {
      out.append("'[flight]', 'listen ")
          .append(flight.asObject().getString("listen", "HOST:PORT"))
          .append("'");
    }
    JsonValue dns = root.get("dns_sd");
    if (dns != null && dns.isObject()) {
      out.append(out.isEmpty() ? "" : ", ")
          .append("'discovery off', '[dns_sd main]', 'server ")
          .append(dns.asObject().getString("server", "HOST:PORT"))
          .append("', 'service ")
          .append(dns.asObject().getString("service", "NAME"))
          .append("'");
    }
    return out.isEmpty()
        ? "nothing, because that file enables no feature"
        : out + " (each on a line of its own, with 'discovery' before the first section)";
  }
}

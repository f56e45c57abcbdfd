package dunlinhitch.discovery.dnssd;

import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.Endpoint;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.xbill.DNS.TXTRecord;

/**
 * Reads an endpoint from the attributes of a TXT record (RFC 6763 section 6): {@code id}, {@code
 * cell}, {@code zone}, {@code state}, {@code protocol}, {@code start} and {@code phases}.
 */
final class TxtRecordParser {
  /** Maximum number of strings that are read from one record. */
  static final int MAX_ATTRIBUTES = 64;

  private static final List<String> REQUIRED = List.of("id", "cell", "zone");

  /** Weight of every endpoint, since TXT records have no attribute for it. */
  private static final double WEIGHT = 1;

  private final EndpointListReader endpointReader;

  TxtRecordParser(EndpointListReader endpointReader) {
    this.endpointReader = endpointReader;
  }

  /**
   * Returns the endpoint that the record describes.
   *
   * @throws IllegalArgumentException if an attribute is missing or invalid; the message describes
   *     the problem
   */
  Endpoint endpoint(TXTRecord txt, String host, int port) {
    Map<String, String> attributes = attributes(txt);
    for (String required : REQUIRED) {
      if (attributes.getOrDefault(required, "").isEmpty()) {
        throw new IllegalArgumentException("the TXT record lacks the attribute " + required);
      }
    }
    return endpointReader
        .endpoint(
            attributes.get("id"),
            host + ":" + port,
            attributes.get("zone"),
            integer(attributes, "cell", ""),
            attributes.getOrDefault("state", "ready"),
            WEIGHT,
            Long.parseLong(attributes.getOrDefault("start", "0")),
            attributes.getOrDefault("protocol", ""))
        .phases(integer(attributes, "phases", "1"));
  }

  private static int integer(Map<String, String> attributes, String key, String defaultValue) {
    return Integer.parseInt(attributes.getOrDefault(key, defaultValue));
  }

  /**
   * Returns the attributes by lower-case key. The first occurrence of a key is used, a missing
   * value is read as an empty one, and strings without a key are skipped (RFC 6763 section 6.4).
   */
  static Map<String, String> attributes(TXTRecord txt) {
    Map<String, String> attributes = new HashMap<>();
    List<byte[]> strings = txt.getStringsAsByteArrays();
    for (byte[] bytes : strings.subList(0, Math.min(strings.size(), MAX_ATTRIBUTES))) {
      String text = new String(bytes, StandardCharsets.UTF_8);
      int equals = text.indexOf('=');
      if (equals == 0) {
        continue;
      }
      String key = equals < 0 ? text : text.substring(0, equals);
      String value = equals < 0 ? "" : text.substring(equals + 1);
      attributes.putIfAbsent(key.toLowerCase(Locale.ROOT), value);
    }
    return attributes;
  }
}

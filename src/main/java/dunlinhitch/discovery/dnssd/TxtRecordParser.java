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
  /** Strings of one record that are read. */
  static final int MAX_ATTRIBUTES = 64;

  private static final List<String> REQUIRED = List.of("id", "cell", "zone");

  /** Weight of an endpoint, which TXT records do not carry. */
  private static final double WEIGHT = 1;

  private final EndpointListReader endpointReader;

  TxtRecordParser(EndpointListReader endpointReader) {
    this.endpointReader = endpointReader;
  }

  /** Throws an IllegalArgumentException that says what is wrong with the record. */
  Endpoint endpoint(TXTRecord txt, String host, int port) {
    Map<String, String> attributes = attributes(txt);
    for (String required : REQUIRED) {
      if (attributes.getOrDefault(required, "").isEmpty()) {
        throw new IllegalArgumentException("its TXT record has no " + required);
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
   * The attributes by key in lower case. The first of a key counts, one without a value is empty,
   * and a string without a key is skipped (RFC 6763 section 6.4).
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

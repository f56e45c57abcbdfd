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
 * What a TXT record says of a store (RFC 6763 section 6): {@code id, cell, zone, state, protocol,
 * start}.
 */
final class TxtReader {
  static final int MOST_WORDS = 64;
  private final EndpointListReader entries;

  TxtReader(EndpointListReader entries) {
    this.entries = entries;
  }

  /** Throws an IllegalArgumentException that says what is wrong. */
  Endpoint entry(TXTRecord txt, String host, int port) {
    Map<String, String> words = words(txt);
    for (String must : List.of("id", "cell", "zone")) {
      if (words.getOrDefault(must, "").isEmpty()) {
        throw new IllegalArgumentException("its TXT record has no " + must);
      }
    }
    return entries
        .entry(
            words.get("id"),
            host + ":" + port,
            words.get("zone"),
            number(words, "cell", ""),
            words.getOrDefault("state", "ready"),
            1,
            Long.parseLong(words.getOrDefault("start", "0")),
            words.getOrDefault("protocol", ""))
        .phases(number(words, "phases", "1"));
  }

  private static int number(Map<String, String> words, String key, String standard) {
    return Integer.parseInt(words.getOrDefault(key, standard));
  }

  /** The first of a key counts, and its case does not; a word without a key is passed over. */
  static Map<String, String> words(TXTRecord txt) {
    Map<String, String> words = new HashMap<>();
    List<byte[]> all = txt.getStringsAsByteArrays();
    for (byte[] bytes : all.subList(0, Math.min(all.size(), MOST_WORDS))) {
      String text = new String(bytes, StandardCharsets.UTF_8);
      int equals = text.indexOf('=');
      if (equals != 0) {
        words.putIfAbsent(
            text.substring(0, equals < 0 ? text.length() : equals).toLowerCase(Locale.ROOT),
            equals < 0 ? "" : text.substring(equals + 1));
      }
    }
    return words;
  }
}

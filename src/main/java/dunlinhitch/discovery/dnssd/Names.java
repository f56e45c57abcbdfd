package dunlinhitch.discovery.dnssd;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/**
 * Domain names of DNS-SD (RFC 6763). The first label of an instance name is arbitrary UTF-8 text,
 * which may contain dots and spaces (section 4.3).
 */
public final class Names {
  /** Number of labels in a service type such as {@code _http._tcp}. */
  private static final int SERVICE_TYPE_LABELS = 2;

  /** The ASCII control character that follows the printable characters. */
  private static final int ASCII_DELETE = 127;

  private Names() {}

  /**
   * Parses an absolute name in presentation form: {@code \.} and {@code \DDD} are escapes, other
   * characters are encoded as UTF-8.
   *
   * @throws IllegalArgumentException if the text is not a domain name
   */
  public static Name parse(String text) {
    StringBuilder ascii = new StringBuilder();
    for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
      boolean printable = octet > ' ' && octet < ASCII_DELETE;
      ascii.append(
          printable
              ? String.valueOf((char) octet)
              : String.format(Locale.ROOT, "\\%03d", octet & 0xff));
    }
    try {
      return Name.fromString(ascii.toString(), Name.root);
    } catch (TextParseException exception) {
      throw new IllegalArgumentException(
          "not a domain name: " + text + ": " + exception.getMessage(), exception);
    }
  }

  /** Returns the name to browse for a subtype of a service (RFC 6763 section 7.1). */
  public static Name subtype(String subtype, Name service) {
    return parse((subtype.startsWith("_") ? "" : "_") + subtype + "._sub." + service);
  }

  /** Returns the domain of a service name: the labels after the service type. */
  public static Name domain(Name service) {
    // The root is counted as a label.
    return service.labels() > SERVICE_TYPE_LABELS + 1
        ? new Name(service, SERVICE_TYPE_LABELS)
        : service;
  }

  /** Returns the instance label of a name as text, in escaped form if it is not valid UTF-8. */
  public static String instanceLabel(Name name) {
    byte[] label = name.getLabel(0);
    int length = label[0];
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(label, 1, length))
          .toString();
    } catch (CharacterCodingException exception) {
      return name.getLabelString(0);
    }
  }

  /** Returns a text that is equal for all spellings of a name that differ only in case. */
  static String canonicalText(Name name) {
    return name.canonicalize().toString();
  }
}

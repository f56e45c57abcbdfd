package dunlinhitch.discovery.dnssd;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/**
 * Names of RFC 6763: an instance's first label is any UTF-8 text, dots and blanks among it (section
 * 4.3).
 */
public final class Names {
  private Names() {}

  /**
   * Reads a name as people write it: {@code \.} and {@code \DDD} are escapes, what is no ASCII is
   * UTF-8. Absolute.
   */
  public static Name parse(String text) {
    StringBuilder ascii = new StringBuilder();
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      ascii.append(
          b > ' ' && b < 127
              ? String.valueOf((char) b)
              : String.format(Locale.ROOT, "\\%03d", b & 0xff));
    }
    try {
      return Name.fromString(ascii.toString(), Name.root);
    } catch (TextParseException e) {
      throw new IllegalArgumentException("no domain name: " + text + ": " + e.getMessage(), e);
    }
  }

  /** The name of a service type's subtype (RFC 6763 section 7.1). */
  public static Name subtype(String subtype, Name service) {
    return parse((subtype.startsWith("_") ? "" : "_") + subtype + "._sub." + service);
  }

  /** The domain of a service: what is behind its two labels. */
  public static Name domain(Name service) {
    return service.labels() > 3 ? new Name(service, 2) : service;
  }

  /** The instance part of a name as a person reads it; what is no UTF-8 stays escaped. */
  public static String instance(Name name) {
    byte[] label = name.getLabel(0);
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(label, 1, label[0]))
          .toString();
    } catch (CharacterCodingException e) {
      return name.getLabelString(0);
    }
  }

  /** One spelling for all cases of a name. */
  static String key(Name name) {
    return name.canonicalize().toString();
  }
}

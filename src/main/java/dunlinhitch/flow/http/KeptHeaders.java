package dunlinhitch.flow.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The names of the header fields that a server reads. One instance serves all connections of the
 * server.
 */
public final class KeptHeaders implements HttpHeadersFactory {
  /** Fields that determine how a connection and the body of a request are read. */
  private static final Set<String> FRAMING =
      Set.of(
          HttpHeaderNames.HOST.toString(),
          HttpHeaderNames.CONNECTION.toString(),
          HttpHeaderNames.CONTENT_LENGTH.toString(),
          HttpHeaderNames.TRANSFER_ENCODING.toString(),
          HttpHeaderNames.EXPECT.toString());

  private final Set<String> lowerCaseNames;

  /**
   * Creates the names.
   *
   * @param names names of the fields to keep besides those that determine the framing
   */
  public KeptHeaders(Set<String> names) {
    lowerCaseNames =
        Stream.concat(FRAMING.stream(), names.stream().map(KeptHeaders::toLowerCase))
            .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns true if a field of this name, in upper or lower case, is kept. */
  boolean contains(String name) {
    return lowerCaseNames.contains(toLowerCase(name));
  }

  @Override
  public HttpHeaders newHeaders() {
    return new RequestHeaders(this);
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return newHeaders();
  }

  private static String toLowerCase(String name) {
    return name.toLowerCase(Locale.ROOT);
  }
}

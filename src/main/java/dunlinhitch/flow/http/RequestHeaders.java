package dunlinhitch.flow.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The header fields of a request that the broker reads. Other fields are checked and dropped, so
 * that a head of many short fields takes no more memory than its bytes.
 */
final class RequestHeaders extends DefaultHttpHeaders {
  /** Maximum number of fields that are kept. */
  static final int MAX_FIELDS = 64;

  private static final int VALID = -1;

  private final KeptHeaders kept;
  private int fields;

  /**
   * Creates an empty set of fields.
   *
   * @param kept the names of the fields to keep
   */
  RequestHeaders(KeptHeaders kept) {
    this.kept = kept;
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    return add(name.toString(), value);
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    if (kept.contains(name)) {
      fields++;
      if (fields > MAX_FIELDS) {
        throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " fields");
      }
      return super.add(name, value);
    }
    if (name.isEmpty()
        || HttpHeaderValidationUtil.validateToken(name) != VALID
        || HttpHeaderValidationUtil.validateValidHeaderValue(value.toString()) != VALID) {
      throw new IllegalArgumentException("malformed header field");
    }
    return this;
  }
}

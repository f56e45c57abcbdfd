package dunlinhitch.discovery;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.Endpoint.Protocol;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.TimingWheel;
import dunlinhitch.text.BoundedJson;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Codec for the content of {@link EndpointListFile}: a header line and a JSON object. The header is
 * {@code dunlinhitch-roster 1 CHECKSUM}, where CHECKSUM is the SHA-256 of the JSON text in
 * hexadecimal digits. Times are in Unix microseconds.
 */
final class EndpointListFormat {
  /** Start of the header line: name and version of the format. */
  private static final String MAGIC = "dunlinhitch-roster 1 ";

  /**
   * A claim that never expires, for example because a push session maintains it, is stored with an
   * expiry 60 s after the write.
   */
  private static final long UNBOUNDED_CLAIM_US = 60_000_000;

  private EndpointListFormat() {}

  /** Encodes the claims contained in the rows; the buffers must be written in order. */
  static List<ByteBuffer> encode(long nowUs, List<EndpointRegistry.Row> rows) {
    JsonArray claims = new JsonArray();
    for (EndpointRegistry.Row row : rows) {
      boolean isClaim = !row.source().isEmpty() && row.endpoint() != null;
      if (isClaim) {
        claims.add(encodeClaim(nowUs, row));
      }
    }
    JsonObject root = new JsonObject().add("saved", nowUs).add("claims", claims);
    byte[] body = root.toString().getBytes(StandardCharsets.UTF_8);
    byte[] header = (MAGIC + checksum(body) + "\n").getBytes(StandardCharsets.US_ASCII);
    return List.of(ByteBuffer.wrap(header), ByteBuffer.wrap(body));
  }

  private static JsonObject encodeClaim(long nowUs, EndpointRegistry.Row row) {
    Endpoint endpoint = row.endpoint();
    boolean unbounded = row.expiresUs() == TimingWheel.NEVER;
    return new JsonObject()
        .add("source", row.source())
        .add("key", row.key())
        .add("id", endpoint.name())
        .add("host", endpoint.host())
        .add("port", endpoint.port())
        .add("zone", endpoint.zone())
        .add("cell", endpoint.cell())
        .add("state", endpoint.state().name())
        .add("weight", endpoint.weight())
        .add("start", endpoint.startedUs())
        .add("wire", endpoint.protocol().name())
        .add("phases", endpoint.phases())
        .add("heard", row.reportedUs())
        .add("until", unbounded ? nowUs + UNBOUNDED_CLAIM_US : row.expiresUs());
  }

  /**
   * Decodes the content of a file. If the clock was set back, a claim may have a report time after
   * {@code nowUs}; such a claim is treated as reported at {@code nowUs}.
   *
   * @throws RuntimeException if the content has another version or is damaged
   */
  static EndpointListFile.Content decode(long nowUs, byte[] content) {
    int headerEnd = 0;
    while (headerEnd < content.length && content[headerEnd] != '\n') {
      headerEnd++;
    }
    String header = new String(content, 0, headerEnd, StandardCharsets.US_ASCII);
    if (!header.startsWith(MAGIC)) {
      throw new IllegalArgumentException("expected a header that begins with '" + MAGIC + "'");
    }
    int bodyStart = Math.min(headerEnd + 1, content.length);
    byte[] body = Arrays.copyOfRange(content, bodyStart, content.length);
    if (!header.substring(MAGIC.length()).equals(checksum(body))) {
      throw new IllegalArgumentException("the content does not match the checksum in the header");
    }
    JsonObject root = BoundedJson.parse(new String(body, StandardCharsets.UTF_8)).asObject();
    Map<String, List<EndpointClaim>> bySource = new LinkedHashMap<>();
    for (JsonValue value : root.get("claims").asArray()) {
      JsonObject json = value.asObject();
      EndpointClaim claim = decodeClaim(nowUs, json);
      bySource
          .computeIfAbsent(json.get("source").asString(), source -> new ArrayList<>())
          .add(claim);
    }
    return new EndpointListFile.Content(root.get("saved").asLong(), bySource);
  }

  private static EndpointClaim decodeClaim(long nowUs, JsonObject json) {
    Endpoint endpoint =
        new Endpoint(
            json.get("id").asString(),
            json.get("host").asString(),
            json.get("port").asInt(),
            json.get("zone").asInt(),
            json.get("cell").asInt(),
            ServerState.valueOf(json.get("state").asString()),
            json.get("weight").asDouble(),
            json.get("start").asLong(),
            Protocol.valueOf(json.get("wire").asString()),
            json.getInt("phases", 1));
    long storedReportedUs = json.get("heard").asLong();
    long reportedUs = Math.min(nowUs, storedReportedUs);
    long lifetimeUs = Math.max(0, json.get("until").asLong() - storedReportedUs);
    return new EndpointClaim(
        json.get("key").asString(), endpoint, reportedUs, reportedUs + lifetimeUs);
  }

  private static String checksum(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) { // every Java platform has SHA-256
      throw new IllegalStateException(e);
    }
  }
}

package dunlinhitch.discovery;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.Endpoint.Protocol;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.TimingWheel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The last known claims on disk: a first line {@code dunlinhitch-roster 1 SHA-256}, and JSON behind
 * it that the sum is of. Written whole under another name, forced to the disk and renamed, so that
 * a reader finds the old one or the new one. Times are Unix microseconds. Blocking: for worker
 * threads and the start.
 */
public final class EndpointListFile {
  static final String NAME = "roster.state";
  private static final String MAGIC = "dunlinhitch-roster 1 ";
  private static final int MOST_BYTES = 64 << 20;

  /**
   * A word without an end, such as one that a push session kept, is taken to hold for so long after
   * it was written.
   */
  private static final long OPEN_END_US = 60_000_000;

  private final Path folder;

  /** The claims of one source, as they were. */
  public record Kept(long savedUs, Map<String, List<EndpointClaim>> bySource) {}

  public EndpointListFile(Path folder) {
    this.folder = folder;
  }

  public Path path() {
    return folder.resolve(NAME);
  }

  /** Throws where it could not be written; what was there stands then. */
  public void write(long nowUs, List<EndpointRegistry.Row> rows) throws IOException {
    JsonArray claims = new JsonArray();
    for (EndpointRegistry.Row row : rows) {
      if (row.source().isEmpty() || row.entry() == null) {
        continue;
      }
      Endpoint e = row.entry();
      claims.add(
          new JsonObject()
              .add("source", row.source())
              .add("key", row.key())
              .add("id", e.name())
              .add("host", e.host())
              .add("port", e.port())
              .add("zone", e.zone())
              .add("cell", e.cell())
              .add("state", e.state().name())
              .add("weight", e.weight())
              .add("start", e.startedUs())
              .add("wire", e.wire().name())
              .add("phases", e.phases())
              .add("heard", row.heardUs())
              .add(
                  "until",
                  row.untilUs() == TimingWheel.NEVER ? nowUs + OPEN_END_US : row.untilUs()));
    }
    byte[] body =
        new JsonObject()
            .add("saved", nowUs)
            .add("claims", claims)
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    byte[] head = (MAGIC + sum(body) + "\n").getBytes(StandardCharsets.US_ASCII);
    Files.createDirectories(folder);
    Path temporary = folder.resolve(NAME + ".new");
    try (FileChannel out =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      for (ByteBuffer bytes : new ByteBuffer[] {ByteBuffer.wrap(head), ByteBuffer.wrap(body)}) {
        while (bytes.hasRemaining()) {
          out.write(bytes);
        }
      }
      out.force(true);
    }
    Files.move(
        temporary, path(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /**
   * What was kept, or null where there is none. A word that was heard after {@code nowUs} (the
   * clock was set back) counts as heard now. A damaged file is set aside under another name; the
   * exception's message is a line for the log.
   */
  public Kept read(long nowUs) throws IOException {
    if (!Files.exists(path())) {
      return null;
    }
    try {
      if (Files.size(path()) > MOST_BYTES) {
        throw new IllegalArgumentException("larger than " + MOST_BYTES + " bytes");
      }
      return parse(nowUs, Files.readAllBytes(path()));
    } catch (RuntimeException e) {
      Path aside = folder.resolve(NAME + ".damaged");
      Files.move(path(), aside, StandardCopyOption.REPLACE_EXISTING);
      throw new IOException(
          "the last known state can not be used ("
              + e.getMessage()
              + ") and was set aside as "
              + aside,
          e);
    }
  }

  private static Kept parse(long nowUs, byte[] bytes) {
    int end = 0;
    while (end < bytes.length && bytes[end] != '\n') {
      end++;
    }
    String head = new String(bytes, 0, end, StandardCharsets.US_ASCII);
    if (!head.startsWith(MAGIC)) {
      throw new IllegalArgumentException("not of this version");
    }
    byte[] body =
        java.util.Arrays.copyOfRange(bytes, Math.min(end + 1, bytes.length), bytes.length);
    if (!head.substring(MAGIC.length()).equals(sum(body))) {
      throw new IllegalArgumentException("its checksum does not fit");
    }
    JsonObject root = Json.parse(new String(body, StandardCharsets.UTF_8)).asObject();
    Map<String, List<EndpointClaim>> bySource = new LinkedHashMap<>();
    for (JsonValue value : root.get("claims").asArray()) {
      JsonObject o = value.asObject();
      Endpoint entry =
          new Endpoint(
              o.get("id").asString(),
              o.get("host").asString(),
              o.get("port").asInt(),
              o.get("zone").asInt(),
              o.get("cell").asInt(),
              ServerState.valueOf(o.get("state").asString()),
              o.get("weight").asDouble(),
              o.get("start").asLong(),
              Protocol.valueOf(o.get("wire").asString()),
              o.getInt("phases", 1));
      long heardUs = Math.min(nowUs, o.get("heard").asLong());
      long lasted = Math.max(0, o.get("until").asLong() - o.get("heard").asLong());
      bySource
          .computeIfAbsent(o.get("source").asString(), s -> new ArrayList<>())
          .add(new EndpointClaim(o.get("key").asString(), entry, heardUs, heardUs + lasted));
    }
    return new Kept(root.get("saved").asLong(), bySource);
  }

  private static String sum(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}

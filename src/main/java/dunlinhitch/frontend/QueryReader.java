package dunlinhitch.frontend;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.QueryRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;

/** Reads a query from what every front has of it: a class, headers and a JSON body. */
public final class QueryReader {
  /** The largest body that any front takes. */
  public static final int MOST_BYTES = 64 * 1024;

  /**
   * Asks that the answer says which shards were spared; the answer's own field is {@link #PRUNED}.
   */
  public static final String SHOW_PRUNED = "X-Show-Pruned";

  public static final String PRUNED = "X-Pruned";
  public static final String TRACE_ID = "X-Trace-Id";
  public static final String EXPIRES_IN = "X-Expires-In";
  public static final String SECOND_TRY = "X-Second-Try";
  public static final String CUSTOMER = "X-Customer";
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /**
   * Ids and keys travel in lines and lists of the stores' frames: no blank, comma, equals sign or
   * line end.
   */
  private static final Pattern WORD = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

  private static final Pattern SECONDS = Pattern.compile("-?[0-9]{1,9}(\\.[0-9]{1,9})?");

  /** Portions are rounded. */
  private static final double PORTIONS_SLACK = 0.005;

  private final Supplier<Settings> settings;

  public QueryReader(Supplier<Settings> settings) {
    this.settings = settings;
  }

  /** The class of that name as it is now, or null. */
  public QueryClass classOf(String name) {
    return settings.get().classes().stream()
        .filter(kind -> kind.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  /**
   * {@code header} gives a header's value or null; {@code customers} holds every value of {@link
   * #CUSTOMER} that came; {@code takenUs} is when the request's last byte was read.
   */
  public QueryRequest read(
      QueryClass kind,
      UnaryOperator<String> header,
      Iterable<String> customers,
      String body,
      long takenUs)
      throws MalformedQueryException {
    String id = word(header, TRACE_ID);
    String key = kind.repeat() == Idempotency.GUARDED ? word(header, IDEMPOTENCY_KEY) : "";
    String expires = header.apply(EXPIRES_IN);
    long leftUs = kind.deadlineUs();
    if (expires != null) {
      if (!SECONDS.matcher(expires).matches()) {
        throw new MalformedQueryException(EXPIRES_IN + " is no number of seconds");
      }
      leftUs = Math.min(leftUs, (long) (Double.parseDouble(expires) * 1e6));
    }
    try {
      JsonObject o = Json.parse(body).asObject();
      JsonValue text = o.get("predicate");
      if (text == null) {
        throw new MalformedQueryException("predicate is missing");
      }
      return new QueryRequest(
          id,
          key,
          kind,
          tenant(customers),
          takenUs + leftUs,
          "1".equals(header.apply(SECOND_TRY)),
          parts(o.get("ranges")),
          text.asString(),
          "1".equals(header.apply(SHOW_PRUNED)));
    } catch (RuntimeException e) {
      throw new MalformedQueryException("the body is no query: " + e.getMessage());
    }
  }

  /**
   * The tenant's name where the settings know it, else empty: what names none of them, or two, has
   * no share of its own and is served as the unnamed one. To turn it down would take from its
   * client what the rules promise to everybody.
   */
  private String tenant(Iterable<String> customers) {
    String named = "";
    for (String name : customers) {
      boolean known =
          settings.get().tenants().stream().anyMatch(tenant -> tenant.name().equals(name));
      if (!known || (!named.isEmpty() && !named.equals(name))) {
        return "";
      }
      named = name;
    }
    return named;
  }

  private List<QueryRequest.PartRequest> parts(JsonValue ranges) throws MalformedQueryException {
    if (ranges == null || ranges.asArray().isEmpty()) {
      throw new MalformedQueryException("ranges is missing or empty");
    }
    JsonArray array = ranges.asArray();
    int shards = settings.get().layout().shards();
    if (1 + array.size() > settings.get().limits().maxInFlight()) {
      throw new MalformedQueryException("more ranges than may be held");
    }
    List<QueryRequest.PartRequest> parts = new ArrayList<>(array.size());
    Set<Integer> seen = new HashSet<>();
    double whole = 0;
    for (JsonValue value : array) {
      JsonObject o = value.asObject();
      int shard = o.get("range").asInt();
      double portion = o.get("portion").asDouble();
      double price = o.getDouble("price", 0);
      if (shard < 0 || (shards > 0 && shard >= shards) || !seen.add(shard)) {
        throw new MalformedQueryException("range " + shard + " does not exist or is named twice");
      }
      if (!(portion >= 0 && portion <= 1.001) || !(price >= 0 && price <= 1e12)) {
        throw new MalformedQueryException(
            "portion or price of range " + shard + " is out of range");
      }
      parts.add(new QueryRequest.PartRequest(shard, portion, (long) price));
      whole += portion;
    }
    if (Math.abs(whole - 1) > PORTIONS_SLACK) {
      throw new MalformedQueryException("the portions add up to " + whole);
    }
    return parts;
  }

  private static String word(UnaryOperator<String> header, String name)
      throws MalformedQueryException {
    String value = header.apply(name);
    if (value == null || !WORD.matcher(value).matches()) {
      throw new MalformedQueryException(name + " is missing or no plain word");
    }
    return value;
  }
}

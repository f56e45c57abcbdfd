package dunlinhitch.frontend;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.text.BoundedJson;
import dunlinhitch.text.ExactText;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;

/**
 * Parses a query from its class, headers and JSON body, which are the same for every frontend.
 * Thread-safe if the supplier of the settings is.
 */
public final class QueryReader {
  /** The largest body that any frontend accepts. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** Request header: the response lists the pruned shards in {@link #PRUNED}. */
  public static final String SHOW_PRUNED = "X-Show-Pruned";

  /** Response header: the pruned shards. */
  public static final String PRUNED = "X-Pruned";

  /** Request header: the id of the query. */
  public static final String TRACE_ID = "X-Trace-Id";

  /** Request header: seconds until the deadline. */
  public static final String EXPIRES_IN = "X-Expires-In";

  /** Request header: the query is a client's retry. */
  public static final String CLIENT_RETRY = "X-Second-Try";

  /** Request header: the tenant. */
  public static final String CUSTOMER = "X-Customer";

  /** Request header: the idempotency key. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The request headers that are read. */
  public static final Set<String> HEADERS =
      Set.of(SHOW_PRUNED, TRACE_ID, EXPIRES_IN, CLIENT_RETRY, CUSTOMER, IDEMPOTENCY_KEY);

  /**
   * Pattern of ids and keys. They are fields of the stores' protocol and therefore contain no
   * spaces, commas, equals signs or line feeds.
   */
  private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

  private static final Pattern DECIMAL_SECONDS = Pattern.compile("-?[0-9]{1,9}(\\.[0-9]{1,9})?");

  /** The sum of the portions may differ from 1 by this much, because each portion is rounded. */
  private static final double PORTION_SUM_TOLERANCE = 0.005;

  /** The largest valid portion: above 1 because portions are rounded. */
  private static final double MAX_PORTION = 1.001;

  private static final double MAX_PRICE = 1e12;
  private static final double US_PER_SECOND = 1e6;
  private static final String FLAG_SET = "1";

  private final Supplier<Settings> settings;

  /** Creates a reader that gets the current settings from the supplier for each query. */
  public QueryReader(Supplier<Settings> settings) {
    this.settings = settings;
  }

  /** Returns the class with this name in the current settings, or null. */
  public QueryClass classOf(String name) {
    return settings.get().classes().stream()
        .filter(queryClass -> queryClass.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  /**
   * Parses a query.
   *
   * @param header returns the value of a header, or null
   * @param customers all values of {@link #CUSTOMER}
   * @param receivedUs when the last byte of the request was received, in microseconds
   * @throws MalformedQueryException if the request is not a valid query
   */
  public QueryRequest read(
      QueryClass queryClass,
      UnaryOperator<String> header,
      Iterable<String> customers,
      byte[] body,
      long receivedUs)
      throws MalformedQueryException {
    String id = token(header, TRACE_ID);
    String key =
        queryClass.idempotency() == Idempotency.GUARDED ? token(header, IDEMPOTENCY_KEY) : "";
    long leftUs = timeoutUs(queryClass, header.apply(EXPIRES_IN));
    String json = ExactText.of(body);
    if (json == null) {
      throw new MalformedQueryException("the body is not valid UTF-8");
    }
    try {
      JsonObject object = BoundedJson.parse(json).asObject();
      return new QueryRequest(
          id,
          key,
          queryClass,
          tenant(customers),
          receivedUs + leftUs,
          FLAG_SET.equals(header.apply(CLIENT_RETRY)),
          parts(object.get("ranges")),
          predicate(object),
          FLAG_SET.equals(header.apply(SHOW_PRUNED)));
    } catch (RuntimeException e) {
      // the JSON library throws several unrelated types for a value of the wrong kind
      throw new MalformedQueryException("the body is no query: " + e.getMessage());
    }
  }

  /** Returns the text that the stores get, which must arrive there unchanged. */
  private static String predicate(JsonObject object) throws MalformedQueryException {
    String text = required(object, "predicate").asString();
    if (!ExactText.isEncodable(text)) {
      throw new MalformedQueryException("predicate has half of a surrogate pair");
    }
    return text;
  }

  /**
   * Returns the time to the deadline of the class or to the client's deadline, whichever is
   * earlier.
   */
  private static long timeoutUs(QueryClass queryClass, String expiresIn)
      throws MalformedQueryException {
    if (expiresIn == null) {
      return queryClass.deadlineUs();
    }
    if (!DECIMAL_SECONDS.matcher(expiresIn).matches()) {
      throw new MalformedQueryException(EXPIRES_IN + " is no number of seconds");
    }
    return Math.min(
        queryClass.deadlineUs(), (long) (Double.parseDouble(expiresIn) * US_PER_SECOND));
  }

  /**
   * Returns the tenant's name if it is configured, else an empty name. A query that names no
   * configured tenant, or several, is served under the quota of unnamed queries. Rejecting it would
   * violate the platform's rules, which guarantee service to every client.
   */
  private String tenant(Iterable<String> customers) {
    String result = "";
    for (String name : customers) {
      boolean configured =
          settings.get().tenants().stream().anyMatch(tenant -> tenant.name().equals(name));
      if (!configured || (!result.isEmpty() && !result.equals(name))) {
        return "";
      }
      result = name;
    }
    return result;
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
    Set<Integer> shardsSoFar = new HashSet<>();
    double portionSum = 0;
    for (JsonValue value : array) {
      QueryRequest.PartRequest part = part(value.asObject(), shards, shardsSoFar);
      parts.add(part);
      portionSum += part.weight();
    }
    if (Math.abs(portionSum - 1) > PORTION_SUM_TOLERANCE) {
      throw new MalformedQueryException("the portions add up to " + portionSum);
    }
    return parts;
  }

  private static QueryRequest.PartRequest part(
      JsonObject object, int shards, Set<Integer> shardsSoFar) throws MalformedQueryException {
    int shard = required(object, "range").asInt();
    double portion = required(object, "portion").asDouble();
    double price = object.getDouble("price", 0);
    boolean exists = shard >= 0 && (shards <= 0 || shard < shards);
    if (!exists || !shardsSoFar.add(shard)) {
      throw new MalformedQueryException("range " + shard + " does not exist or is named twice");
    }
    if (!(portion >= 0 && portion <= MAX_PORTION) || !(price >= 0 && price <= MAX_PRICE)) {
      throw new MalformedQueryException("portion or price of range " + shard + " is out of range");
    }
    return new QueryRequest.PartRequest(shard, portion, (long) price);
  }

  private static JsonValue required(JsonObject object, String field)
      throws MalformedQueryException {
    JsonValue value = object.get(field);
    if (value == null) {
      throw new MalformedQueryException(field + " is missing");
    }
    return value;
  }

  private static String token(UnaryOperator<String> header, String name)
      throws MalformedQueryException {
    String value = header.apply(name);
    if (value == null || !TOKEN.matcher(value).matches()) {
      throw new MalformedQueryException(name + " is missing or no plain word");
    }
    return value;
  }
}

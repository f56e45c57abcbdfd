package dunlinhitch.discovery;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.Endpoint.Protocol;
import dunlinhitch.text.ExactText;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Reads endpoint lists in the JSON format of discovery. Invalid entries are skipped and counted.
 * Immutable; thread-safe if the event consumer is thread-safe.
 */
public final class EndpointListReader {
  private static final int MAX_PORT = 65_535;
  private static final long MICROSECONDS_PER_MILLISECOND = 1000;

  /** The latest start time that can be represented in microseconds. */
  private static final long LATEST_START_MS = Long.MAX_VALUE / MICROSECONDS_PER_MILLISECOND;

  private final List<String> zones;
  private final Consumer<Event> events;

  /**
   * Creates a reader.
   *
   * @param zones the zone names of the settings, in order; if null, any zone is accepted
   * @param events receives an event for each skipped entry
   */
  public EndpointListReader(List<String> zones, Consumer<Event> events) {
    this.zones = zones == null ? null : List.copyOf(zones);
    this.events = events;
  }

  /**
   * Reads a complete list if {@code reset} is true in the JSON, and a list of changes otherwise.
   *
   * @param list the list as received or stored
   * @param cached whether the list comes from a cache instead of the discovery service
   */
  public Event.EndpointsUpdated read(JsonObject list, boolean cached) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (JsonValue value : list.get("instances").asArray()) {
      try {
        endpoints.add(endpoint(value.asObject()));
      } catch (RuntimeException e) { // the JSON library throws several exception types
        events.accept(new Event.ConditionCounted(Counter.ENDPOINT_ENTRIES_INVALID));
      }
    }
    boolean reset = list.getBoolean("reset", false);
    ServerListKind kind = reset ? ServerListKind.FULL : ServerListKind.DELTA;
    return new Event.EndpointsUpdated(cached ? ServerListKind.CACHED : kind, endpoints);
  }

  private Endpoint endpoint(JsonObject json) {
    return endpoint(
            json.get("instanceId").asString(),
            json.get("hostPort").asString(),
            json.getString("zone", ""),
            json.get("cell").asInt(),
            json.get("lifecycle").asString(),
            json.getDouble("weight", 1),
            json.getLong("startedAtMs", 0),
            json.getString("protocol", ""))
        .phases(json.getInt("phases", 1));
  }

  /**
   * Creates an endpoint from field values read from JSON or DNS records.
   *
   * @throws IllegalArgumentException if a field is invalid
   */
  public Endpoint endpoint(
      String name,
      String hostPort,
      String zone,
      int cell,
      String lifecycle,
      double weight,
      long startedAtMs,
      String protocol) {
    int colon = hostPort.lastIndexOf(':');
    int port = Integer.parseInt(hostPort.substring(colon + 1));
    ServerState state = stateOf(lifecycle);
    if (name.isEmpty()) {
      throw new IllegalArgumentException("the endpoint id is empty");
    }
    if (!ExactText.isUnaltered(name)) {
      // two such ids could become the same id
      throw new IllegalArgumentException("the endpoint id is not valid UTF-8: " + name);
    }
    if (colon < 1 || port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("address is not HOST:PORT: " + hostPort);
    }
    checkNumbers(cell, startedAtMs, weight);
    int zoneIndex = zones == null ? 0 : zones.indexOf(zone);
    if (zoneIndex < 0 && state != ServerState.GONE) {
      throw new IllegalArgumentException("zone is not in the settings: " + zone);
    }
    return new Endpoint(
        name,
        hostPort.substring(0, colon),
        port,
        Math.max(0, zoneIndex),
        cell,
        state,
        weight,
        startedAtMs * MICROSECONDS_PER_MILLISECOND,
        protocolOf(protocol));
  }

  private static void checkNumbers(int cell, long startedAtMs, double weight) {
    if (cell < 0) {
      throw new IllegalArgumentException("cell is negative: " + cell);
    }
    if (startedAtMs < 0 || startedAtMs > LATEST_START_MS) {
      throw new IllegalArgumentException("start time is out of range: " + startedAtMs);
    }
    if (!Double.isFinite(weight)) {
      throw new IllegalArgumentException("weight is not a finite number: " + weight);
    }
  }

  private static ServerState stateOf(String lifecycle) {
    return switch (lifecycle) {
      case "ready" -> ServerState.READY;
      case "draining" -> ServerState.DRAINING;
      case "gone" -> ServerState.GONE;
      default -> throw new IllegalArgumentException("unknown lifecycle state: " + lifecycle);
    };
  }

  private static Protocol protocolOf(String protocol) {
    return switch (protocol.toLowerCase(Locale.ROOT)) {
      case "", "frames" -> Protocol.FRAMES;
      case "flight" -> Protocol.FLIGHT;
      default -> throw new IllegalArgumentException("unknown protocol: " + protocol);
    };
  }
}

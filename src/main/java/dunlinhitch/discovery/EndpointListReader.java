package dunlinhitch.discovery;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.Endpoint.Protocol;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Reads lists of stores in discovery's form; an entry that can not be used is skipped and counted.
 */
public final class EndpointListReader {
  /** In microseconds it is a number still. */
  private static final long LATEST_MS = Long.MAX_VALUE / 1000;

  private final List<String> zones;
  private final Consumer<Event> events;

  /** {@code zones} are the names of the settings, in order; null: any will do. */
  public EndpointListReader(List<String> zones, Consumer<Event> events) {
    this.zones = zones == null ? null : List.copyOf(zones);
    this.events = events;
  }

  /** A list that replaces all ({@code reset}) or changes some. */
  public Event.EndpointsUpdated read(JsonObject list, boolean cached) {
    List<Endpoint> entries = new ArrayList<>();
    for (JsonValue value : list.get("instances").asArray()) {
      try {
        entries.add(entry(value.asObject()));
      } catch (RuntimeException e) {
        events.accept(new Event.ConditionCounted(Counter.BAD_ROSTER_ENTRIES));
      }
    }
    boolean reset = list.getBoolean("reset", false);
    return new Event.EndpointsUpdated(
        cached ? ServerListKind.CACHED : reset ? ServerListKind.FULL : ServerListKind.DELTA,
        entries);
  }

  private Endpoint entry(JsonObject o) {
    return entry(
            o.get("instanceId").asString(),
            o.get("hostPort").asString(),
            o.getString("zone", ""),
            o.get("cell").asInt(),
            o.get("lifecycle").asString(),
            o.getDouble("weight", 1),
            o.getLong("startedAtMs", 0),
            o.getString("protocol", ""))
        .phases(o.getInt("phases", 1));
  }

  /** An entry from its words, wherever they stand; throws where one is of no use. */
  public Endpoint entry(
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
    ServerState state =
        switch (lifecycle) {
          case "ready" -> ServerState.READY;
          case "draining" -> ServerState.DRAINING;
          case "gone" -> ServerState.GONE;
          default -> throw new IllegalArgumentException("no such state: " + lifecycle);
        };
    int zoneIndex = zones == null ? 0 : zones.indexOf(zone);
    String wrong =
        name.isEmpty()
            ? "no id"
            : colon < 1 || port < 1 || port > 65_535
                ? "no address: " + hostPort
                : cell < 0
                    ? "no cell: " + cell
                    : startedAtMs < 0 || startedAtMs > LATEST_MS
                        ? "no start: " + startedAtMs
                        : !Double.isFinite(weight)
                            ? "no weight: " + weight
                            : zoneIndex < 0 && state != ServerState.GONE
                                ? "no zone of the settings: " + zone
                                : "";
    if (!wrong.isEmpty()) {
      throw new IllegalArgumentException(wrong);
    }
    Protocol wire =
        switch (protocol.toLowerCase(Locale.ROOT)) {
          case "", "frames" -> Protocol.FRAMES;
          case "flight" -> Protocol.FLIGHT;
          default -> throw new IllegalArgumentException("no such protocol: " + protocol);
        };
    return new Endpoint(
        name,
        hostPort.substring(0, colon),
        port,
        Math.max(0, zoneIndex),
        cell,
        state,
        weight,
        startedAtMs * 1000,
        wire);
  }
}

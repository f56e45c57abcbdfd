package dunlinhitch.experiments.soak;

import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A fake store that records the attempts it receives and can hang, freeze or reject parts on
 * demand. Not thread-safe; used on the event loop.
 */
final class SoakStore extends FrameStore {
  private final Observations observations;
  private final Map<NetSocket, Integer> connectionNumbers = new HashMap<>();
  private final Map<NetSocket, Set<String>> attempts = new HashMap<>();
  private boolean hanging;
  private boolean full;
  private boolean frozen;

  SoakStore(Vertx vertx, String name, Observations observations) throws Exception {
    super(vertx, name);
    this.observations = observations;
    script = part -> full ? Behavior.LATER : hanging ? Behavior.NOTHING : Behavior.GOOD;
  }

  void setHanging(boolean hangs) {
    hanging = hangs;
  }

  void setFull(boolean rejects) {
    full = rejects;
  }

  /**
   * Sets whether the store stops reading from its connections. A frozen store receives neither
   * parts nor cancellations and does not detect the end of a connection.
   */
  void setFrozen(boolean freezes) {
    frozen = freezes;
    connectionNumbers.keySet().forEach(socket -> setReading(socket, !frozen));
  }

  /**
   * Enables or disables reading at the channel. Pausing the Vert.x socket is not sufficient: a
   * paused socket still reads into a queue and detects the end of its connection.
   */
  private static void setReading(NetSocket socket, boolean reading) {
    ((NetSocketInternal) socket).channelHandlerContext().channel().config().setAutoRead(reading);
  }

  @Override
  protected void onConnected(NetSocket socket) {
    connectionNumbers.put(socket, connectionNumbers.size());
    attempts.put(socket, ConcurrentHashMap.newKeySet());
    if (frozen) {
      setReading(socket, false);
    }
  }

  @Override
  protected void onReceived(NetSocket socket, ReceivedPart part) {
    int connection = connectionNumbers.get(socket);
    attempts.get(socket).add(part.id());
    observations.add(atUs -> new Observation.AttemptRead(atUs, part.id(), name, connection));
  }

  @Override
  protected void onCancelled(NetSocket socket, String partId) {
    end(socket, partId);
  }

  @Override
  protected void onAnswered(NetSocket socket, String partId) {
    end(socket, partId);
  }

  @Override
  protected void onDisconnected(NetSocket socket) {
    attempts.get(socket).forEach(partId -> end(socket, partId));
  }

  private void end(NetSocket socket, String partId) {
    if (attempts.get(socket).remove(partId)) {
      int connection = connectionNumbers.get(socket);
      observations.add(atUs -> new Observation.AttemptOver(atUs, partId, name, connection));
    }
  }
}

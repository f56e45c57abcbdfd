package dunlinhitch;

import dunlinhitch.audit.AuditRule;
import dunlinhitch.audit.Digest;
import dunlinhitch.audit.Versions;
import dunlinhitch.config.Config;
import dunlinhitch.config.Product;
import dunlinhitch.config.Talk;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.FleetPlace;
import dunlinhitch.core.MicroClock;
import dunlinhitch.fleet.FleetSettings;
import dunlinhitch.fleet.Peer;
import dunlinhitch.fleet.SubsetRule;
import dunlinhitch.fleet.View;
import dunlinhitch.fleet.ViewSettings;
import dunlinhitch.peers.PeerSocket;
import dunlinhitch.peers.Reach;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * This broker's link to the others, where the product's own file has a {@code [fleet]}: its place
 * for the reducer, and the socket.
 */
final class FleetLink {
  /** Of the time between two looks an answer may take so much; then others are asked. */
  private static final int ANSWER_PART = 3;

  private static final long FORGET_US = 30_000_000;
  private static final int FORGET_SUSPICIONS = 10;
  private static final double PATIENCE = 0.4;

  /** PROTOCOL: a longer datagram ends the platform's run. */
  private static final int PLATFORM_BYTES = 256;

  private final Vertx vertx;
  private final Product.Fleet told;
  private final FleetPlace place;
  private final Reach reach;
  private PeerSocket socket;

  FleetLink(Vertx vertx, Config config, MicroClock clock) {
    this.vertx = vertx;
    told = config.product().fleet();
    reach = reach(told, config.talk(), config.name());
    long dayMs = System.currentTimeMillis();
    List<String> zones = config.settings().zones();
    int zone = config.settings().zone();
    Peer self =
        new Peer(
            config.name(),
            zone < zones.size() ? Integer.toString(zone) : "",
            told.advertise().host(),
            told.advertise().port(),
            dayMs,
            Peer.Status.ALIVE);
    place =
        new FleetPlace(
            self,
            told.peers().stream().map(peer -> new View.Seed(peer.host(), peer.port())).toList(),
            settings(told, reach),
            dayMs * 1000 - clock.getAsLong(),
            new AuditRule(told.behindUs(), AuditRule.STANDARD.againUs(), told.shutOutUs()),
            new Versions(Main.VERSION, Digest.of(config.settings()), config.writtenMs(), 0));
  }

  /**
   * Where the platform says where the others are, nobody else is one of them. This broker is at its
   * own address whatever others are told that it is, or it would take itself for another one of its
   * name.
   */
  static Reach reach(Product.Fleet told, Talk talk, String self) {
    boolean there = talk != null && talk.listen() != null;
    List<Reach.Known> known = new ArrayList<>();
    if (there && talk.listen().equals(told.listen()) && !talk.peers().isEmpty()) {
      talk.peers()
          .forEach(one -> known.add(new Reach.Known(one.name(), one.at().host(), one.at().port())));
      known.add(new Reach.Known(self, told.advertise().host(), told.advertise().port()));
    }
    return new Reach(there ? PLATFORM_BYTES : PeerSocket.STANDARD_BYTES, known);
  }

  /** The view reckons with words as large as the socket lets out. */
  static FleetSettings settings(Product.Fleet told, Reach reach) {
    FleetSettings standard = FleetSettings.STANDARD;
    ViewSettings view =
        new ViewSettings(
                told.lookUs(),
                told.lookUs() / ANSWER_PART,
                standard.view().helpers(),
                told.suspectUs(),
                Math.max(FORGET_US, FORGET_SUSPICIONS * told.suspectUs()),
                standard.view().mostPeers())
            .withWords(reach.mostBytes())
            .withAddresses(!reach.isTold());
    return new FleetSettings(
        new SubsetRule(told.least(), standard.subsets().spread(), told.slack()),
        view,
        told.turnUs(),
        (long) (PATIENCE * told.turnUs()),
        standard.staleUs(),
        standard.mostStores());
  }

  FleetPlace place() {
    return place;
  }

  Future<Integer> listen(Consumer<Event> events) {
    socket = new PeerSocket(vertx, reach, events);
    return socket.listen(told.listen().host(), told.listen().port());
  }

  /** What is said before it listens is lost, as any word may be. */
  void tell(Effect.TellPeer word) {
    if (socket != null) {
      socket.tell(word);
    }
  }

  Future<Void> close() {
    return socket == null ? Future.succeededFuture() : socket.close();
  }
}

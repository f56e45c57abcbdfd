package dunlinhitch.experiments.dns;

import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.discovery.DiscoverySource;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.Endpoint;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.dns.DefaultDnsQuestion;
import io.netty.handler.codec.dns.DnsPtrRecord;
import io.netty.handler.codec.dns.DnsRecord;
import io.netty.handler.codec.dns.DnsRecordType;
import io.netty.handler.codec.dns.DnsResponseCode;
import io.netty.resolver.dns.DnsErrorCauseException;
import io.netty.resolver.dns.DnsNameResolver;
import io.netty.resolver.dns.DnsNameResolverBuilder;
import io.netty.resolver.dns.NoopDnsCache;
import io.netty.resolver.dns.SingletonDnsServerAddressStreamProvider;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.dns.DnsClient;
import io.vertx.core.dns.DnsClientOptions;
import io.vertx.core.dns.DnsException;
import io.vertx.core.dns.SrvRecord;
import io.vertx.core.internal.ContextInternal;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The look-up of stores as it was before {@code DnsSource}, kept to measure against: the whole
 * service is asked for again when its shortest TTL has run out. Stores as DNS-SD has them (RFC
 * 6763): PTR names the instances of the service, SRV says where each is, TXT what it is ({@code id,
 * cell, zone, state, protocol, start}). A look-up lasts as long as its shortest TTL; an instance
 * that is absent then is gone. A server that does not answer changes nothing.
 *
 * <p>Vert.x's DnsClient gives one PTR record of an answer and no TTL but SRV's, so PTR is asked by
 * the resolver beneath it, on the same event loop.
 */
public final class OldLookUp implements DiscoverySource {
  private static final long QUERY_US = 1_000_000;
  private static final long LEAST_TTL_US = 1_000_000;
  private static final long MOST_TTL_US = 60_000_000;
  private static final long FIRST_PAUSE_US = 200_000;
  private static final int MOST_INSTANCES = 1024;
  private final Vertx vertx;
  private final String service;
  private final EndpointListReader reader;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final DnsClient client;
  private final DnsNameResolver browser;

  /** Entries of the last look-up, under the names of their instances. */
  private Map<String, Endpoint> last = new HashMap<>();

  private long pauseUs = FIRST_PAUSE_US;
  private long round;
  private boolean answered;

  /** One look-up: what was found, and how long it may be kept. */
  private static final class LookUp {
    private final Map<String, Endpoint> found = new HashMap<>();
    private long ttlUs = MOST_TTL_US;

    private void lasts(long seconds) {
      ttlUs = Math.max(LEAST_TTL_US, Math.min(ttlUs, seconds * 1_000_000));
    }
  }

  public OldLookUp(
      Vertx vertx,
      Context context,
      String host,
      int port,
      String service,
      EndpointListReader reader,
      Consumer<Event> events,
      LongSupplier clock) {
    this.vertx = vertx;
    this.service = service;
    this.reader = reader;
    this.events = events;
    this.clock = clock;
    long now = clock.getAsLong();
    long queryMs = MicroClock.timerMs(now, now + QUERY_US);
    client =
        vertx.createDnsClient(
            new DnsClientOptions().setHost(host).setPort(port).setQueryTimeout(queryMs));
    browser =
        new DnsNameResolverBuilder(((ContextInternal) context).nettyEventLoop())
            .datagramChannelType(NioDatagramChannel.class)
            .resolveCache(NoopDnsCache.INSTANCE)
            .nameServerProvider(
                new SingletonDnsServerAddressStreamProvider(new InetSocketAddress(host, port)))
            .queryTimeoutMillis(queryMs)
            .build();
  }

  @Override
  public void start() {
    lookUp();
  }

  @Override
  public void follow(String host, int port) {
    // the records come from the server that the file of fronts names
  }

  @Override
  public void stop() {
    round++;
    client.close();
    browser.close();
  }

  @Override
  public void resync() {
    lookUp();
  }

  @Override
  public boolean hasAnswered() {
    return answered;
  }

  private void lookUp() {
    long mine = ++round;
    LookUp lookUp = new LookUp();
    browse(lookUp)
        .compose(names -> Future.join(names.stream().map(name -> instance(lookUp, name)).toList()))
        .onComplete(
            done -> {
              if (mine != round) {
                return;
              }
              if (done.succeeded()) {
                publish(lookUp);
                pauseUs = FIRST_PAUSE_US;
                again(lookUp.ttlUs);
              } else {
                events.accept(new Event.ConditionCounted(Counter.SOURCES_UNAVAILABLE));
                again(pauseUs);
                pauseUs = Math.min(LEAST_TTL_US * 4, 2 * pauseUs);
              }
            });
  }

  private void again(long inUs) {
    long mine = round;
    long now = clock.getAsLong();
    vertx.setTimer(
        MicroClock.timerMs(now, now + inUs),
        t -> {
          if (mine == round) {
            lookUp();
          }
        });
  }

  private void publish(LookUp lookUp) {
    boolean changed = !answered || !lookUp.found.equals(last);
    answered = true;
    last = lookUp.found;
    if (changed) {
      events.accept(
          new Event.EndpointsUpdated(ServerListKind.FULL, List.copyOf(lookUp.found.values())));
    }
  }

  /** The instances of the service; none where the name does not exist. */
  private Future<List<String>> browse(LookUp lookUp) {
    Promise<List<String>> names = Promise.promise();
    browser
        .resolveAll(new DefaultDnsQuestion(service, DnsRecordType.PTR))
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                if (notThere(done.cause())) {
                  names.complete(List.of());
                } else {
                  names.fail(done.cause());
                }
                return;
              }
              List<String> found = new ArrayList<>();
              for (Object record : (List<?>) done.getNow()) {
                if (record instanceof DnsPtrRecord ptr && found.size() < MOST_INSTANCES) {
                  found.add(ptr.hostname());
                  lookUp.lasts(((DnsRecord) ptr).timeToLive());
                }
                ReferenceCountUtil.release(record);
              }
              names.complete(found);
            });
    return names.future();
  }

  /** Where an instance is and what it is; one that is not there or can not be used is left out. */
  private Future<Void> instance(LookUp lookUp, String name) {
    return client
        .resolveSRV(name)
        .compose(
            records ->
                client
                    .resolveTXT(name)
                    .compose(
                        texts -> {
                          if (records.isEmpty()) {
                            return Future.succeededFuture();
                          }
                          SrvRecord srv = records.get(0);
                          lookUp.lasts(srv.ttl());
                          return client
                              .resolveA(srv.target())
                              .map(
                                  addresses -> {
                                    take(lookUp, name, addresses.get(0) + ":" + srv.port(), texts);
                                    return (Void) null;
                                  });
                        }))
        .recover(e -> notThere(e) ? Future.succeededFuture() : keep(lookUp, name, e));
  }

  /** No answer about an instance that was known leaves it as it was. */
  private Future<Void> keep(LookUp lookUp, String name, Throwable cause) {
    Endpoint old = last.get(name);
    if (old == null) {
      return Future.failedFuture(cause);
    }
    lookUp.found.put(name, old);
    lookUp.lasts(0);
    return Future.succeededFuture();
  }

  private void take(LookUp lookUp, String name, String hostPort, List<String> texts) {
    Map<String, String> words = new HashMap<>();
    for (String text : texts) {
      int equals = text.indexOf('=');
      if (equals > 0) { // RFC 6763: the first of a key counts, and case does not
        words.putIfAbsent(
            text.substring(0, equals).toLowerCase(Locale.ROOT), text.substring(equals + 1));
      }
    }
    try {
      lookUp.found.put(
          name,
          reader.endpoint(
              words.getOrDefault("id", ""),
              hostPort,
              words.getOrDefault("zone", ""),
              Integer.parseInt(words.getOrDefault("cell", "")),
              words.getOrDefault("state", "ready"),
              1,
              Long.parseLong(words.getOrDefault("start", "0")),
              words.getOrDefault("protocol", "")));
    } catch (IllegalArgumentException e) {
      events.accept(new Event.ConditionCounted(Counter.ENDPOINT_ENTRIES_INVALID));
    }
  }

  @SuppressWarnings("ReferenceEquality") // Netty has one instance of each code
  private static boolean notThere(Throwable e) {
    if (e instanceof DnsException dns) {
      return dns.code() == io.vertx.core.dns.DnsResponseCode.NXDOMAIN;
    }
    for (Throwable cause = e; cause != null; cause = cause.getCause()) {
      if (cause instanceof DnsErrorCauseException dns) {
        return dns.getCode() == DnsResponseCode.NXDOMAIN;
      }
    }
    return false;
  }
}

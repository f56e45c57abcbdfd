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
 * The DNS-SD resolver that preceded {@code DnsSource}, as a baseline for measurements: it resolves
 * the complete service again whenever the record with the shortest TTL has expired. Instances are
 * found by DNS-SD (RFC 6763): PTR records contain their names, SRV records their addresses and TXT
 * records their attributes ({@code id, cell, zone, state, protocol, start}). An instance that is
 * absent from a resolution is removed; if the server does not answer, the endpoints are retained.
 *
 * <p>Vert.x's DnsClient returns only one PTR record of an answer and provides the TTL of SRV
 * records only. PTR records are therefore resolved by Netty's resolver, on the same event loop.
 */
public final class BaselineResolver implements DiscoverySource {
  private static final long QUERY_TIMEOUT_US = 1_000_000;
  private static final long MIN_TTL_US = 1_000_000;
  private static final long MAX_TTL_US = 60_000_000;
  private static final long INITIAL_BACKOFF_US = 200_000;
  private static final int MAX_INSTANCES = 1024;
  private final Vertx vertx;
  private final String service;
  private final EndpointListReader reader;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final DnsClient client;
  private final DnsNameResolver pointerResolver;

  /** Endpoints of the last resolution by instance name. */
  private Map<String, Endpoint> lastEndpoints = new HashMap<>();

  private long backoffUs = INITIAL_BACKOFF_US;
  private long round;
  private boolean answered;

  /** The result of one resolution: the endpoints and the shortest TTL. */
  private static final class Resolution {
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private long ttlUs = MAX_TTL_US;

    private void limitTtl(long seconds) {
      ttlUs = Math.max(MIN_TTL_US, Math.min(ttlUs, seconds * 1_000_000));
    }
  }

  /**
   * Creates a resolver of {@code service} at one name server; {@code events} receives the endpoint
   * lists.
   */
  public BaselineResolver(
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
    long queryMs = MicroClock.timerMs(now, now + QUERY_TIMEOUT_US);
    client =
        vertx.createDnsClient(
            new DnsClientOptions().setHost(host).setPort(port).setQueryTimeout(queryMs));
    pointerResolver =
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
    resolve();
  }

  @Override
  public void follow(String host, int port) {
    // This resolver always uses the name server that was passed to the constructor.
  }

  @Override
  public void stop() {
    round++;
    client.close();
    pointerResolver.close();
  }

  @Override
  public void resync() {
    resolve();
  }

  @Override
  public boolean hasAnswered() {
    return answered;
  }

  private void resolve() {
    long ownRound = ++round;
    Resolution resolution = new Resolution();
    resolveInstanceNames(resolution)
        .compose(
            names ->
                Future.join(names.stream().map(name -> resolveInstance(resolution, name)).toList()))
        .onComplete(
            done -> {
              if (ownRound != round) {
                return;
              }
              if (done.succeeded()) {
                publish(resolution);
                backoffUs = INITIAL_BACKOFF_US;
                scheduleNext(resolution.ttlUs);
              } else {
                events.accept(new Event.ConditionCounted(Counter.SOURCES_UNAVAILABLE));
                scheduleNext(backoffUs);
                backoffUs = Math.min(MIN_TTL_US * 4, 2 * backoffUs);
              }
            });
  }

  private void scheduleNext(long inUs) {
    long ownRound = round;
    long now = clock.getAsLong();
    vertx.setTimer(
        MicroClock.timerMs(now, now + inUs),
        t -> {
          if (ownRound == round) {
            resolve();
          }
        });
  }

  private void publish(Resolution resolution) {
    boolean changed = !answered || !resolution.endpoints.equals(lastEndpoints);
    answered = true;
    lastEndpoints = resolution.endpoints;
    if (changed) {
      events.accept(
          new Event.EndpointsUpdated(
              ServerListKind.FULL, List.copyOf(resolution.endpoints.values())));
    }
  }

  /**
   * Resolves the names of the service's instances; the list is empty if the service name does not
   * exist.
   */
  private Future<List<String>> resolveInstanceNames(Resolution resolution) {
    Promise<List<String>> names = Promise.promise();
    pointerResolver
        .resolveAll(new DefaultDnsQuestion(service, DnsRecordType.PTR))
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                if (isNonexistentDomain(done.cause())) {
                  names.complete(List.of());
                } else {
                  names.fail(done.cause());
                }
                return;
              }
              List<String> found = new ArrayList<>();
              for (Object record : (List<?>) done.getNow()) {
                if (record instanceof DnsPtrRecord ptr && found.size() < MAX_INSTANCES) {
                  found.add(ptr.hostname());
                  resolution.limitTtl(((DnsRecord) ptr).timeToLive());
                }
                ReferenceCountUtil.release(record);
              }
              names.complete(found);
            });
    return names.future();
  }

  /** Resolves one instance; an instance that does not exist or is invalid is skipped. */
  private Future<Void> resolveInstance(Resolution resolution, String name) {
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
                          resolution.limitTtl(srv.ttl());
                          return client
                              .resolveA(srv.target())
                              .map(
                                  addresses -> {
                                    addEndpoint(
                                        resolution,
                                        name,
                                        addresses.get(0) + ":" + srv.port(),
                                        texts);
                                    return (Void) null;
                                  });
                        }))
        .recover(
            e ->
                isNonexistentDomain(e)
                    ? Future.succeededFuture()
                    : retainLast(resolution, name, e));
  }

  /** Retains the last endpoint of an instance whose resolution failed. */
  private Future<Void> retainLast(Resolution resolution, String name, Throwable cause) {
    Endpoint lastEndpoint = lastEndpoints.get(name);
    if (lastEndpoint == null) {
      return Future.failedFuture(cause);
    }
    resolution.endpoints.put(name, lastEndpoint);
    resolution.limitTtl(0);
    return Future.succeededFuture();
  }

  private void addEndpoint(
      Resolution resolution, String name, String hostPort, List<String> texts) {
    Map<String, String> attributes = new HashMap<>();
    for (String text : texts) {
      int equals = text.indexOf('=');
      // RFC 6763: keys are case-insensitive, and the first value of a key applies.
      if (equals > 0) {
        attributes.putIfAbsent(
            text.substring(0, equals).toLowerCase(Locale.ROOT), text.substring(equals + 1));
      }
    }
    try {
      resolution.endpoints.put(
          name,
          reader.endpoint(
              attributes.getOrDefault("id", ""),
              hostPort,
              attributes.getOrDefault("zone", ""),
              Integer.parseInt(attributes.getOrDefault("cell", "")),
              attributes.getOrDefault("state", "ready"),
              1,
              Long.parseLong(attributes.getOrDefault("start", "0")),
              attributes.getOrDefault("protocol", "")));
    } catch (IllegalArgumentException e) {
      events.accept(new Event.ConditionCounted(Counter.ENDPOINT_ENTRIES_INVALID));
    }
  }

  // Netty has one instance of each response code, so references can be compared.
  @SuppressWarnings("ReferenceEquality")
  private static boolean isNonexistentDomain(Throwable failure) {
    if (failure instanceof DnsException dns) {
      return dns.code() == io.vertx.core.dns.DnsResponseCode.NXDOMAIN;
    }
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof DnsErrorCauseException dns) {
        return dns.getCode() == DnsResponseCode.NXDOMAIN;
      }
    }
    return false;
  }
}

package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.MicroClock;
import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.ClientSSLOptions;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.PemTrustOptions;
import java.util.function.LongSupplier;

/**
 * The TLS connection to a push server, one at a time, which splits the stream into messages. On the
 * event loop.
 */
final class PushConnection {
  /** Events of the current connection; none come from one that was closed here. */
  interface Listener {
    /** The connection is established. */
    void onConnected();

    /** No connection could be established. */
    void onConnectFailed(Throwable cause);

    /** A complete message came. */
    void onMessage(byte[] message);

    /** All complete messages of what was read have been passed on. */
    void onReadComplete();

    /** The connection has ended at the other side or by an error. */
    void onClosed();
  }

  private final NetClient client;
  private final DnsDiscoverySource.Push server;
  private final LongSupplier clock;
  private final Listener listener;
  private Connection current;
  private boolean stopped;

  PushConnection(
      Vertx vertx, DnsDiscoverySource.Push server, LongSupplier clock, Listener listener) {
    client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    this.server = server;
    this.clock = clock;
    this.listener = listener;
  }

  /** Connects, or fails at {@code deadlineUs}. */
  void connect(long deadlineUs) {
    Connection connection = new Connection();
    current = connection;
    client.connect(options(deadlineUs)).onComplete(connection::onConnectResult);
  }

  private ConnectOptions options(long deadlineUs) {
    ClientSSLOptions tls = new ClientSSLOptions().setHostnameVerificationAlgorithm("HTTPS");
    if (server.trust() != null) {
      tls.setTrustOptions(new PemTrustOptions().addCertPath(server.trust().toString()));
    }
    ConnectOptions options =
        new ConnectOptions()
            .setHost(server.host())
            .setPort(server.port())
            .setSsl(true)
            .setSslOptions(tls)
            .setTimeout((int) MicroClock.timerMs(clock.getAsLong(), deadlineUs));
    if (server.serverName() != null) {
      options.setSniServerName(server.serverName());
    }
    return options;
  }

  /** Sends bytes that are framed already; without a connection they are dropped. */
  void send(Buffer bytes) {
    if (current != null && current.socket != null) {
      current.socket.write(bytes);
    }
  }

  /** Closes the current connection; its events end. */
  void close() {
    Connection closing = current;
    current = null;
    if (closing != null && closing.socket != null) {
      closing.socket.close();
    }
  }

  /** Closes for good. */
  void stop() {
    stopped = true;
    client.close();
  }

  /** One attempt to connect and the connection that comes of it. */
  private final class Connection {
    private NetSocket socket;
    private Buffer unparsed = Buffer.buffer();

    private boolean isCurrent() {
      return current == this;
    }

    private void onConnectResult(AsyncResult<NetSocket> result) {
      if (stopped || !isCurrent()) {
        if (result.succeeded()) {
          result.result().close();
        }
        return;
      }
      if (result.failed()) {
        listener.onConnectFailed(result.cause());
        return;
      }
      socket = result.result();
      socket.handler(this::onRead);
      socket.exceptionHandler(ignored -> {}); // The close handler follows.
      socket.closeHandler(
          ignored -> {
            if (isCurrent() && !stopped) {
              listener.onClosed();
            }
          });
      listener.onConnected();
    }

    private void onRead(Buffer bytes) {
      if (!isCurrent()) {
        return;
      }
      unparsed.appendBuffer(bytes);
      int offset = 0;
      while (isCurrent() && DnsTcpFraming.hasMessage(unparsed, offset)) {
        int end = DnsTcpFraming.endOfMessage(unparsed, offset);
        listener.onMessage(DnsTcpFraming.message(unparsed, offset));
        offset = end;
      }
      unparsed = unparsed.getBuffer(offset, unparsed.length());
      listener.onReadComplete();
    }
  }
}

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
 * Maintains at most one TLS connection to a push server and splits its byte stream into messages.
 * Confined to the event loop.
 */
final class PushConnection {
  /**
   * Receives the events of the current connection. A connection that was closed locally reports no
   * further events.
   */
  interface Listener {
    /** The connection is established. */
    void onConnected();

    /** No connection could be established. */
    void onConnectFailed(Throwable cause);

    /** A complete message was received. */
    void onMessage(byte[] message);

    /** All complete messages in the bytes received so far have been delivered. */
    void onReadComplete();

    /** The server closed the connection, or the connection failed. */
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

  /** Opens a connection; the attempt fails at {@code deadlineUs}. */
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

  /** Sends bytes that include their length prefix; drops them if there is no connection. */
  void send(Buffer bytes) {
    if (current != null && current.socket != null) {
      current.socket.write(bytes);
    }
  }

  /** Closes the current connection, which then reports no further events. */
  void close() {
    Connection closing = current;
    current = null;
    if (closing != null && closing.socket != null) {
      closing.socket.close();
    }
  }

  /** Closes the client permanently. */
  void stop() {
    stopped = true;
    client.close();
  }

  /** One connection attempt and, if it succeeds, the resulting connection. */
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
      socket.exceptionHandler(ignored -> {}); // The close handler is called next.
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

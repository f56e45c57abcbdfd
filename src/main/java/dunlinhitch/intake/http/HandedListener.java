package dunlinhitch.intake.http;

import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.Future;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Supplier;

/**
 * A listening socket that somebody else made and another process of this broker may accept from as well: the
 * platform's, as descriptor 0. Vert.x comes to it by its transport. Nothing here binds it, shuts it down or closes it:
 * the other process goes on with it, and with that channel the JDK closes the descriptors that the log is written to.
 */
public final class HandedListener extends NioTransport implements Transport {
    private final ServerSocketChannel handed;
    private Accepting accepting;
    private boolean lending;

    public HandedListener(ServerSocketChannel handed) {
        this.handed = handed;
    }

    /** The one that this process was started with as descriptor 0. */
    public static HandedListener inherited() throws IOException {
        Channel channel = System.inheritedChannel();
        if (channel instanceof ServerSocketChannel listener) {
            return new HandedListener(listener);
        }
        throw new IOException("descriptor 0 is no listening socket");
    }

    /** The server that {@code listen} starts accepts here, from the moment it is registered on. */
    <T> Future<T> lend(Supplier<Future<T>> listen) {
        lending = true;
        return listen.get().onComplete(done -> lending = false);
    }

    /** Connections that wait are left to the other process from now on. */
    void stopAccepting() {
        if (accepting != null) {
            accepting.config().setAutoRead(false);
        }
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return lending ? () -> accepting = new Accepting(handed) : super.serverChannelFactory(domainSocket);
    }

    @Override
    public String name() {
        return "nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return this;
    }

    private static final class Accepting extends NioServerSocketChannel {
        Accepting(ServerSocketChannel handed) {
            super(handed);
        }

        @Override
        protected void doBind(SocketAddress address) {
            // it was bound when it was handed over
        }

        @Override
        protected void doClose() {
            // taken off its selector is enough: it is not this process's to close
        }
    }
}

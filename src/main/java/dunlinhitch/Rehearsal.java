package dunlinhitch;

import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.SettingsReader;
import com.eclipsesource.json.Json;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/**
 * A broker that serves itself one query on loopback: all that {@code serve} needs is loaded once. The build archives
 * the classes from it, for a broker that comes back on part of a core spent most of that time on loading them.
 */
final class Rehearsal {
    private static final String SETTINGS = """
            {"FailureDomains":["here"],"TickUs":1000,
             "Classes":[{"Name":"a","OnTimeUs":1000000,"DeadlineUs":2000000,"Idempotency":"free"}],
             "Domain":{"Positions":1,"InARow":1,"Shards":1,"PerCall":8},
             "Limits":{"MaxAttempts":4,"MayCancel":true,"MayProbe":true,"RetryAfter":true,"MaxRetryAfterUs":500000,
              "ConnectTimeoutUs":250000,"StreamsPerConn":32,"ConnIdleUs":15000000},
             "Report":{"Via":"answers","Fields":["recent_ms","backlog"]}}""";
    private static final String BODY = "{\"ranges\":[{\"range\":0,\"portion\":1.0}],\"predicate\":\"x\"}";
    private static final String ASK = "POST /a HTTP/1.1\r\nHost: self\r\nX-Trace-Id: r\r\nX-Expires-In: 1.5\r\n"
            + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    private static final String LIST = "{\"generation\":1,\"reset\":true,\"instances\":[{\"instanceId\":\"s\","
            + "\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"here\",\"cell\":0,\"lifecycle\":\"ready\"}]}\n";
    private static final String REPLY = "qr.0 good 1 latency_ms=1,queue=0\nv";

    private final Vertx vertx;
    private final Context context;

    Rehearsal(Vertx vertx, Context context) {
        this.vertx = vertx;
        this.context = context;
    }

    /** Over when the query is answered and the broker has ended; the result is the answer. */
    Future<String> run() {
        NetServer peers = vertx.createNetServer();
        return peers.connectHandler(socket -> socket.handler(bytes -> play(socket, bytes, peers.actualPort())))
                .listen(0, "127.0.0.1").compose(bound -> {
                    Address any = new Address("127.0.0.1", 0);
                    Broker broker = new Broker(vertx, context, new Config("rehearsal", any,
                            new Address("127.0.0.1", bound.actualPort()), 1, Json.object(), Config.SOCKETS,
                            SettingsReader.read(SETTINGS), Config.Fronts.NONE), line -> { });
                    return broker.start().compose(this::ask)
                            .eventually(() -> broker.stop()).eventually(() -> bound.close());
                });
    }

    /** Discovery and a store in one: what asks by HTTP gets the list, a call the one reply. */
    private static void play(NetSocket socket, Buffer asked, int port) {
        if (asked.getByte(0) == 'G') {
            String list = LIST.formatted(port);
            socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
                    + "\r\n" + list + "\r\n");
        } else {
            socket.write(Buffer.buffer().appendUnsignedIntLE(REPLY.length()).appendString(REPLY));
        }
    }

    private Future<String> ask(int port) {
        Promise<String> answer = Promise.promise();
        vertx.createNetClient().connect(port, "127.0.0.1").onFailure(answer::fail).onSuccess(socket -> {
            socket.closeHandler(v -> answer.tryFail("the broker closed the connection"));
            socket.handler(bytes -> {
                answer.tryComplete(bytes.toString());
                socket.close();
            });
            socket.write(ASK);
        });
        return answer.future();
    }
}

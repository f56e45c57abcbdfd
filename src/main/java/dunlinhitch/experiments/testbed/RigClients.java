package dunlinhitch.experiments.testbed;

import dunlinhitch.experiments.fakes.Client;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Clients of a rig: at each broker that is up one query every so often, over a connection of its
 * own, and what became of each. A query that a running broker took is owed an answer by its time
 * and half a second; one whose broker was killed meanwhile is not.
 */
public final class RigClients {
  private static final int TIME_MS = 1_000;
  private static final int OWED_MS = 1_500;
  private static final int MOST = 20_000;

  /** What became of a query. */
  public enum End {
    SERVED,
    REFUSED,
    FAILED,
    LATE,
    LOST,
    BROKER_KILLED,
    NOT_LET_IN,
    WRONG
  }

  private final Rig rig;
  private final NetClient client;
  private final int everyMs;
  private final Map<End, Integer> ends = new TreeMap<>();
  private final List<String> notes = new ArrayList<>();
  private long timer = -1;
  private int asked;
  private int open;

  public RigClients(Rig rig, int everyMs) {
    this.rig = rig;
    this.everyMs = everyMs;
    client = rig.vertx().createNetClient();
  }

  /** Begins to ask, at most {@code MOST} queries. */
  public void start() throws Exception {
    rig.onLoop(
        () ->
            timer =
                rig.vertx()
                    .setPeriodic(
                        everyMs,
                        t ->
                            rig.nodes().stream()
                                .filter(Rig.Node::isUp)
                                .filter(
                                    node ->
                                        node.lines().stream()
                                            .anyMatch(
                                                line ->
                                                    line.startsWith(node.name + " listens on ")))
                                .forEach(this::ask)));
  }

  /** Asks no more and waits for what is open; how many came to each end. */
  public Map<End, Integer> stop() throws Exception {
    rig.onLoop(() -> rig.vertx().cancelTimer(timer));
    Rig.await("all queries came to an end", 10, () -> rig.onLoop(() -> open == 0));
    return rig.onLoop(
        () -> {
          client.close();
          return new TreeMap<>(ends);
        });
  }

  /** Queries that came to an end so far. */
  public int ended() throws Exception {
    return rig.onLoop(() -> asked - open);
  }

  /** How many came to that end so far. */
  public int ended(End end) throws Exception {
    return rig.onLoop(() -> ends.getOrDefault(end, 0));
  }

  /** What is worth a look, a line each. */
  public List<String> notes() throws Exception {
    return rig.onLoop(() -> List.copyOf(notes));
  }

  /** What a broker that runs must never do to a query. */
  public static boolean isBreach(End end) {
    return end == End.LOST || end == End.LATE || end == End.WRONG;
  }

  private void ask(Rig.Node node) {
    if (asked >= MOST) {
      return;
    }
    int number = ++asked;
    open++;
    int shard = number % rig.cells();
    boolean search = number % 2 == 0;
    String body = search ? Client.body(all()) : Client.body(shard);
    String id = "q" + number;
    boolean[] ended = {false};
    StringBuilder answer = new StringBuilder();
    long fromNanos = System.nanoTime();
    client
        .connect(node.httpPort, "127.0.0.1")
        .onComplete(
            made -> {
              if (made.failed()) {
                end(
                    ended,
                    End.NOT_LET_IN,
                    node,
                    id + " was not let in: " + made.cause()); // nobody took it
                return;
              }
              NetSocket socket = made.result();
              socket.exceptionHandler(e -> {});
              socket.closeHandler(
                  v ->
                      end(
                          ended,
                          node.isUp() ? End.LOST : End.BROKER_KILLED,
                          node,
                          id + " was closed on"));
              socket.handler(
                  bytes -> {
                    answer.append(bytes.toString());
                    if (whole(answer)) {
                      long ms = (System.nanoTime() - fromNanos) / 1_000_000;
                      end(
                          ended,
                          how(answer, ms),
                          node,
                          id
                              + " "
                              + answer
                                  .substring(0, Math.min(60, answer.length()))
                                  .replace("\r\n", " "));
                      socket.close();
                    }
                  });
              rig.vertx()
                  .setTimer(
                      OWED_MS,
                      t -> {
                        if (!ended[0]) {
                          end(
                              ended,
                              node.isUp() ? End.LOST : End.BROKER_KILLED,
                              node,
                              id + " got no answer");
                          socket.close();
                        }
                      });
              socket.write(
                  Buffer.buffer(
                      "POST /"
                          + (search ? "free-search" : "slot-booking")
                          + " HTTP/1.1\r\nHost: rig\r\nX-Trace-Id: "
                          + id
                          + "\r\nIdempotency-Key: k"
                          + number
                          + "\r\nX-Expires-In: "
                          + TIME_MS / 1000.0
                          + "\r\nContent-Length: "
                          + Buffer.buffer(body).length()
                          + "\r\n\r\n"
                          + body));
            });
  }

  private int[] all() {
    int[] shards = new int[rig.cells()];
    for (int i = 0; i < shards.length; i++) {
      shards[i] = i;
    }
    return shards;
  }

  private static boolean whole(StringBuilder answer) {
    int head = answer.indexOf("\r\n\r\n");
    int at = answer.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
    if (head < 0 || at < 0 || at > head) {
      return false;
    }
    int length = Integer.parseInt(answer.substring(at + 16, answer.indexOf("\r\n", at)).trim());
    return answer.substring(head + 4).getBytes(java.nio.charset.StandardCharsets.UTF_8).length
        >= length;
  }

  private End how(StringBuilder answer, long ms) {
    String status = answer.substring(9, 12);
    if (ms > OWED_MS) {
      return End.LATE;
    }
    return switch (status) {
      case "200" -> isTrue(answer) ? End.SERVED : End.WRONG;
      case "503" -> End.REFUSED;
      default -> End.FAILED;
    };
  }

  /** Each value was made by a store of the shard's own cell. */
  private static boolean isTrue(StringBuilder answer) {
    var root =
        com.eclipsesource.json.Json.parse(answer.substring(answer.indexOf("\r\n\r\n") + 4))
            .asObject();
    for (var part : root.get("answers").asArray()) {
      int shard = part.asObject().getInt("range", -1);
      if (!part.asObject().getString("blob", "").matches("s" + shard + "-\\d+/" + shard + "/.*")) {
        return false;
      }
    }
    return true;
  }

  private void end(boolean[] ended, End how, Rig.Node node, String note) {
    if (!ended[0]) {
      ended[0] = true;
      open--;
      ends.merge(how, 1, Integer::sum);
      if (how != End.SERVED && how != End.REFUSED && notes.size() < 50) {
        notes.add(node.name + ": " + how + " " + note);
      }
    }
  }
}

package dunlinhitch.experiments.testbed;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.experiments.fakes.Client;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The clients of a test bed: at a fixed interval they send one query to each running broker, each
 * query over its own connection, and count the outcomes. A running broker must answer within {@link
 * #ANSWER_TIMEOUT_MS}. A broker that is killed before this time need not answer.
 *
 * <p>The state of this object is confined to the event loop of the test bed; the public methods
 * must be called on other threads.
 */
public final class QueryLoad {
  /** Deadline that each query states, in milliseconds after the query is sent. */
  private static final int QUERY_DEADLINE_MS = 1_000;

  /**
   * Milliseconds within which a running broker must answer: the deadline of the query plus 500 ms.
   */
  private static final int ANSWER_TIMEOUT_MS = 1_500;

  private static final int MAX_QUERIES = 20_000;
  private static final int MAX_NOTES = 50;

  /** Maximum number of characters of an answer that a note quotes. */
  private static final int NOTE_ANSWER_LENGTH = 60;

  private static final String CONTENT_LENGTH = "content-length: ";
  private static final String END_OF_HEAD = "\r\n\r\n";

  /** The outcome of a query; reports print the names of the constants. */
  public enum End {
    /** Answered with values of stores of the expected cells. */
    SERVED,
    /** Rejected with 503. */
    REFUSED,
    /** Answered with another status. */
    FAILED,
    /** Answered after the timeout. */
    LATE,
    /** Not answered by a running broker. */
    LOST,
    /** Not answered, and the broker was killed. */
    BROKER_KILLED,
    /** The broker did not accept the connection. */
    NOT_LET_IN,
    /** Answered with a value that does not come from a store of the shard's cell. */
    WRONG
  }

  private final TestBed testBed;
  private final NetClient client;
  private final int intervalMs;
  private final Map<End, Integer> ends = new TreeMap<>();
  private final List<String> notes = new ArrayList<>();
  private long timer = -1;
  private int sent;
  private int open;

  /** Creates clients that send nothing before {@link #start}. */
  public QueryLoad(TestBed testBed, int intervalMs) {
    this.testBed = testBed;
    this.intervalMs = intervalMs;
    client = testBed.vertx().createNetClient();
  }

  /** Starts to send queries, at most {@link #MAX_QUERIES}. */
  public void start() throws Exception {
    testBed.onLoop(() -> timer = testBed.vertx().setPeriodic(intervalMs, id -> sendQueries()));
  }

  /** Stops sending and waits for the open queries; returns the number of queries by outcome. */
  public Map<End, Integer> stop() throws Exception {
    testBed.onLoop(() -> testBed.vertx().cancelTimer(timer));
    TestBed.await("all queries have ended", 10, () -> testBed.onLoop(() -> open == 0));
    return testBed.onLoop(
        () -> {
          client.close();
          return new TreeMap<>(ends);
        });
  }

  /** Returns the number of completed queries so far. */
  public int ended() throws Exception {
    return testBed.onLoop(() -> sent - open);
  }

  /** Returns the number of queries with that outcome so far. */
  public int ended(End end) throws Exception {
    return testBed.onLoop(() -> ends.getOrDefault(end, 0));
  }

  /** Returns one line for each of the first 50 queries that were neither served nor rejected. */
  public List<String> notes() throws Exception {
    return testBed.onLoop(() -> List.copyOf(notes));
  }

  /** Returns true for outcomes that a running broker must never cause. */
  public static boolean isBreach(End end) {
    return end == End.LOST || end == End.LATE || end == End.WRONG;
  }

  private void sendQueries() {
    for (TestBed.Node node : testBed.nodes()) {
      if (node.isUp() && isListening(node) && sent < MAX_QUERIES) {
        new Query(node, ++sent).send();
      }
    }
  }

  private static boolean isListening(TestBed.Node node) {
    return node.lines().stream().anyMatch(line -> line.startsWith(node.name + " listens on "));
  }

  /** One query, sent over a connection of its own. */
  private final class Query {
    private final TestBed.Node node;
    private final int number;
    private final String id;
    private final StringBuilder answer = new StringBuilder();
    private long startNanos;
    private boolean ended;

    Query(TestBed.Node node, int number) {
      this.node = node;
      this.number = number;
      id = "q" + number;
    }

    void send() {
      open++;
      startNanos = System.nanoTime();
      client
          .connect(node.httpPort, "127.0.0.1")
          .onComplete(
              connected -> {
                if (connected.failed()) {
                  end(End.NOT_LET_IN, id + " could not connect: " + connected.cause());
                } else {
                  onConnected(connected.result());
                }
              });
    }

    private void onConnected(NetSocket socket) {
      // The exception is ignored, because the close handler runs next and ends the query.
      socket.exceptionHandler(e -> {});
      socket.closeHandler(
          v -> endWithoutAnswer(id + " lost its connection before the answer was complete"));
      socket.handler(bytes -> onBytes(socket, bytes));
      testBed
          .vertx()
          .setTimer(
              ANSWER_TIMEOUT_MS,
              timerId -> {
                if (!ended) {
                  endWithoutAnswer(id + " timed out without a complete answer");
                  socket.close();
                }
              });
      socket.write(request());
    }

    private void onBytes(NetSocket socket, Buffer bytes) {
      answer.append(bytes.toString());
      if (isComplete(answer)) {
        long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
        String quoted = answer.substring(0, Math.min(NOTE_ANSWER_LENGTH, answer.length()));
        end(classify(answer, elapsedMs), id + " " + quoted.replace("\r\n", " "));
        socket.close();
      }
    }

    private Buffer request() {
      boolean search = number % 2 == 0;
      String body = search ? Client.body(allShards()) : Client.body(number % testBed.cells());
      return Buffer.buffer(
          "POST /"
              + (search ? "free-search" : "slot-booking")
              + " HTTP/1.1\r\nHost: rig\r\nX-Trace-Id: "
              + id
              + "\r\nIdempotency-Key: k"
              + number
              + "\r\nX-Expires-In: "
              + QUERY_DEADLINE_MS / 1000.0
              + "\r\nContent-Length: "
              + Buffer.buffer(body).length()
              + END_OF_HEAD
              + body);
    }

    private void endWithoutAnswer(String note) {
      end(node.isUp() ? End.LOST : End.BROKER_KILLED, note);
    }

    private void end(End end, String note) {
      if (ended) {
        return;
      }
      ended = true;
      open--;
      ends.merge(end, 1, Integer::sum);
      if (end != End.SERVED && end != End.REFUSED && notes.size() < MAX_NOTES) {
        notes.add(node.name + ": " + end + " " + note);
      }
    }
  }

  private int[] allShards() {
    int[] shards = new int[testBed.cells()];
    for (int i = 0; i < shards.length; i++) {
      shards[i] = i;
    }
    return shards;
  }

  private static boolean isComplete(StringBuilder answer) {
    int headEnd = answer.indexOf(END_OF_HEAD);
    int lengthAt = answer.toString().toLowerCase(Locale.ROOT).indexOf(CONTENT_LENGTH);
    if (headEnd < 0 || lengthAt < 0 || lengthAt > headEnd) {
      return false;
    }
    int valueAt = lengthAt + CONTENT_LENGTH.length();
    int length =
        Integer.parseInt(answer.substring(valueAt, answer.indexOf("\r\n", lengthAt)).trim());
    String body = answer.substring(headEnd + END_OF_HEAD.length());
    return body.getBytes(StandardCharsets.UTF_8).length >= length;
  }

  private static End classify(StringBuilder answer, long elapsedMs) {
    if (elapsedMs > ANSWER_TIMEOUT_MS) {
      return End.LATE;
    }
    String status = answer.substring(9, 12);
    return switch (status) {
      case "200" -> hasExpectedValues(answer) ? End.SERVED : End.WRONG;
      case "503" -> End.REFUSED;
      default -> End.FAILED;
    };
  }

  /** Returns true if each value comes from a store of the cell that holds its shard. */
  private static boolean hasExpectedValues(StringBuilder answer) {
    String body = answer.substring(answer.indexOf(END_OF_HEAD) + END_OF_HEAD.length());
    for (JsonValue part : Json.parse(body).asObject().get("answers").asArray()) {
      JsonObject fields = part.asObject();
      int shard = fields.getInt("range", -1);
      if (!fields.getString("blob", "").matches("s" + shard + "-\\d+/" + shard + "/.*")) {
        return false;
      }
    }
    return true;
  }
}

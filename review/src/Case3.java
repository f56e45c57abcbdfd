import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Bad clients send a body of nested arrays that cannot be read as a query, wait for the answer and stay. */
final class Case3 {
  private static final int FEW = 20;
  private static final int HUNDREDS = 540;
  private static final int DEPTH = 3_000;
  /** Bad clients are owed an error or a close within 3 s; a request gets its answer within its 3 s and 0.55 s. */
  private static final int DUE_MS = 3_550;

  public static void main(String[] arguments) throws Exception {
    Rig rig = new Rig(arguments[0]);
    try {
      run(rig);
    } catch (Throwable failure) {
      rig.fail(failure);
    }
  }

  private static void run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    for (int i = 0; i < 4; i++) {
      Rig.FrameStore store = rig.new FrameStore("s-" + i);
      discovery.put(store.name, Rig.Discovery.entry(store.name, store.port(), i % 2, "ready", ""));
    }
    Rig.Broker broker =
        rig.new Broker("n0", discovery.port(), Rig.settings(Rig.CLASSES, Rig.DOMAIN, Rig.LIMITS), discovery.list(), Path.of("").toAbsolutePath());
    List<Rig.Client> clients = new ArrayList<>();
    int unanswered = send(rig, broker, clients, 0, FEW);
    rig.say(unanswered + " of " + FEW + " requests got neither an answer nor a close within " + DUE_MS + " ms");
    usual(rig, broker, "after few");
    int waiting = send(rig, broker, clients, FEW, HUNDREDS);
    rig.say(waiting + " of " + (HUNDREDS - FEW) + " further requests got neither an answer nor a close within " + DUE_MS + " ms");
    usual(rig, broker, "after hundreds");
    Thread.sleep(10_000);
    int still = 0;
    for (Rig.Client client : clients) {
      Rig.Answer answer = client.read(5);
      still += answer.status() == 0 && !answer.why().contains("connection") ? 1 : 0;
    }
    rig.say(still + " of " + HUNDREDS + " connections still open without an answer after 10 s more");
    usual(rig, broker, "10 s later");
    rig.say("counters:\n" + broker.stats());
    rig.end(
        unanswered > 0,
        unanswered + " of " + FEW + " requests got no final answer and no close; of " + HUNDREDS + " in all " + still + " waited to the end");
  }

  /** Sends requests on new connections; returns how many got no answer and no close in time. */
  private static int send(Rig rig, Rig.Broker broker, List<Rig.Client> clients, int from, int to) throws Exception {
    String ranges = rig.trouble ? "[".repeat(DEPTH) + "]".repeat(DEPTH) : "[{\"range\":0,\"portion\":1}]";
    byte[] body = ("{\"ranges\":" + ranges + ",\"predicate\":\"altos\"}").getBytes(StandardCharsets.UTF_8);
    long[] sentNs = new long[to];
    for (int i = from; i < to; i++) {
      Rig.Client client = new Rig.Client(broker.port);
      clients.add(client);
      client.query("slot-booking", "bad-" + i, "3.0", "key-" + i, body);
      sentNs[i] = System.nanoTime();
      Thread.sleep(3);
    }
    rig.say((to - from) + " clients sent a request of " + body.length + " bytes each");
    int unanswered = 0;
    for (int i = from; i < to; i++) {
      long leftMs = DUE_MS - (System.nanoTime() - sentNs[i]) / 1_000_000;
      Rig.Answer answer = clients.get(i).read((int) Math.max(20, leftMs));
      boolean closed = answer.why().contains("connection");
      unanswered += answer.status() == 0 && !closed ? 1 : 0;
      if (i < FEW) {
        rig.say("  bad-" + i + ": " + (closed ? "closed" : answer.status() == 0 ? "nothing" : "answer " + answer.status()));
      }
    }
    return unanswered;
  }

  /** Ten usual clients; recorded, not judged: a refusal is allowed. */
  private static void usual(Rig rig, Rig.Broker broker, String when) throws Exception {
    StringBuilder statuses = new StringBuilder();
    for (int i = 0; i < 10; i++) {
      String id = "usual-" + when.replace(' ', '-') + "-" + i;
      try (Rig.Client client = new Rig.Client(broker.port)) {
        client.query(
            "slot-booking", id, "3.0", "key-" + id, "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"altos\"}".getBytes(StandardCharsets.UTF_8));
        statuses.append(' ').append(client.read(4_000).status());
      }
    }
    rig.say("usual clients " + when + ", answers:" + statuses);
  }
}

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Beside the usual clients come some whose requests cannot be read: bodies of nested arrays, and texts that are no UTF-8
 * or hold half a surrogate pair. Each is owed an error or a close, and none may be served.
 */
final class Case2 {
  private static final int ROUNDS = 20;
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
    List<Rig.FrameStore> stores = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Rig.FrameStore store = rig.new FrameStore("s-" + i);
      stores.add(store);
      discovery.put(store.name, Rig.Discovery.entry(store.name, store.port(), i % 2, "ready", ""));
    }
    Rig.Broker broker =
        rig.new Broker("n0", discovery.port(), Rig.settings(Rig.CLASSES, Rig.DOMAIN, Rig.LIMITS), discovery.list(), Path.of("").toAbsolutePath());

    // texts that cannot be read
    Map<String, byte[]> asked = new HashMap<>();
    int served = 0;
    for (int i = 0; i < ROUNDS / 2; i++) {
      byte[] text = "Fl\u00fcgel, Caf\u00e9 \ud83c\udfb5".getBytes(StandardCharsets.UTF_8);
      asked.put("usual-" + i, text);
      query(rig, broker, "usual-" + i, text);
      if (rig.trouble) {
        // the same words in ISO-8859-1: these bytes are no UTF-8
        served += query(rig, broker, "latin-" + i, "Fl\u00fcgel, Caf\u00e9".getBytes(StandardCharsets.ISO_8859_1)) == 200 ? 1 : 0;
        // an escape for half a surrogate pair: it stands for no character
        served += query(rig, broker, "half-" + i, "hall \\ud83c".getBytes(StandardCharsets.US_ASCII)) == 200 ? 1 : 0;
      }
    }
    int changed = 0;
    for (Rig.FrameStore store : stores) {
      for (Rig.Received part : store.received) {
        byte[] text = asked.get(part.id().substring(0, part.id().lastIndexOf('.')));
        boolean asAsked = text != null && Arrays.equals(text, part.text());
        changed += asAsked ? 0 : 1;
        rig.say("store " + store.name + " got " + part.id() + " with text " + Rig.hex(part.text()) + (asAsked ? "" : " - asked by no client"));
      }
    }
    rig.say(served + " unreadable texts were served, " + changed + " parts reached a store with a text that no client sent");

    // nested arrays that cannot be read as a query
    List<Rig.Client> clients = new ArrayList<>();
    int unanswered = nested(rig, broker, clients, 0, ROUNDS);
    rig.say(unanswered + " of " + ROUNDS + " nested requests got neither an answer nor a close within " + DUE_MS + " ms");
    usual(rig, broker, "after " + ROUNDS);

    // what follows from hundreds of them; recorded, not judged
    int waiting = nested(rig, broker, clients, ROUNDS, HUNDREDS);
    rig.say(waiting + " of " + (HUNDREDS - ROUNDS) + " further ones got neither an answer nor a close within " + DUE_MS + " ms");
    usual(rig, broker, "after " + HUNDREDS);
    Thread.sleep(10_000);
    int still = 0;
    for (Rig.Client client : clients) {
      Rig.Answer answer = client.read(5);
      still += rig.trouble && answer.status() == 0 && !answer.why().contains("connection") ? 1 : 0;
    }
    rig.say(still + " of " + HUNDREDS + " connections still open without an answer after 10 s more");
    usual(rig, broker, "10 s later");
    rig.say("counters:\n" + broker.stats());
    rig.end(
        unanswered > 0 || served > 0 || changed > 0,
        unanswered + " of " + ROUNDS + " nested requests got no answer and no close; " + served + " of " + (rig.trouble ? ROUNDS : 0)
            + " unreadable texts were served, " + changed + " parts had a text that no client sent");
  }

  private static int query(Rig rig, Rig.Broker broker, String id, byte[] text) throws Exception {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.writeBytes("{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"".getBytes(StandardCharsets.US_ASCII));
    body.writeBytes(text);
    body.writeBytes("\"}".getBytes(StandardCharsets.US_ASCII));
    try (Rig.Client client = new Rig.Client(broker.port)) {
      client.query("slot-booking", id, "3.0", "key-" + id, body.toByteArray());
      Rig.Answer answer = client.read(5_000);
      rig.say("client sent " + id + ", predicate " + Rig.hex(text) + "; answer " + answer.status() + " " + answer.body().trim() + answer.why());
      return answer.status();
    }
  }

  /** Sends requests on new connections, which stay open; returns how many got no answer and no close in time. */
  private static int nested(Rig rig, Rig.Broker broker, List<Rig.Client> clients, int from, int to) throws Exception {
    String ranges = rig.trouble ? "[".repeat(DEPTH) + "]".repeat(DEPTH) : "[{\"range\":0,\"portion\":1}]";
    byte[] body = ("{\"ranges\":" + ranges + ",\"predicate\":\"altos\"}").getBytes(StandardCharsets.UTF_8);
    long[] sentNs = new long[to];
    for (int i = from; i < to; i++) {
      Rig.Client client = new Rig.Client(broker.port);
      clients.add(client);
      client.query("slot-booking", "nested-" + i, "3.0", "key-" + i, body);
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
      if (i < ROUNDS) {
        rig.say("  nested-" + i + ": " + (closed ? "closed" : answer.status() == 0 ? "nothing" : "answer " + answer.status()));
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

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Beside the usual clients come some whose body cannot be read: not UTF-8, or with half a surrogate pair. */
final class Case2 {
  private static final int ROUNDS = 10;

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
    Map<String, byte[]> asked = new HashMap<>();
    int served = 0;
    for (int i = 0; i < ROUNDS; i++) {
      // a usual client: the text is UTF-8
      byte[] text = "Fl\u00fcgel, Caf\u00e9 \ud83c\udfb5".getBytes(StandardCharsets.UTF_8);
      asked.put("usual-" + i, text);
      Rig.Answer usual = query(rig, broker, "usual-" + i, text);
      if (usual.status() != 200) {
        rig.say("a usual client was not served");
      }
      if (rig.trouble) {
        // the same words in ISO-8859-1: these bytes are no UTF-8
        served += query(rig, broker, "latin-" + i, "Fl\u00fcgel, Caf\u00e9".getBytes(StandardCharsets.ISO_8859_1)).status() == 200 ? 1 : 0;
        // an escape for half a surrogate pair: it stands for no character
        served += query(rig, broker, "half-" + i, "hall \\ud83c".getBytes(StandardCharsets.US_ASCII)).status() == 200 ? 1 : 0;
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
    rig.end(
        changed > 0 || served > 0,
        changed + " parts reached a store with a text that no client sent; " + served + " of " + (rig.trouble ? 2 * ROUNDS : 0) + " unreadable requests were served");
  }

  private static Rig.Answer query(Rig rig, Rig.Broker broker, String id, byte[] text) throws Exception {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.writeBytes("{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"".getBytes(StandardCharsets.US_ASCII));
    body.writeBytes(text);
    body.writeBytes("\"}".getBytes(StandardCharsets.US_ASCII));
    try (Rig.Client client = new Rig.Client(broker.port)) {
      client.query("slot-booking", id, "3.0", "key-" + id, body.toByteArray());
      Rig.Answer answer = client.read(5_000);
      rig.say("client sent " + id + ", predicate " + Rig.hex(text) + "; answer " + answer.status() + " " + answer.body().trim() + answer.why());
      return answer;
    }
  }
}

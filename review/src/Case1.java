import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** HTTP clients, Flight stores: a store answers a part with a value that is null, or in another string type. */
final class Case1 {
  private static final int QUERIES = 10;

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
    List<FlightRig> stores = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      FlightRig store = rig.owned(new FlightRig("s-" + i));
      stores.add(store);
      discovery.put(store.name, Rig.Discovery.entry(store.name, store.port(), i % 2, "ready", "flight"));
    }
    Rig.Broker broker =
        rig.new Broker("n0", discovery.port(), Rig.settings(Rig.CLASSES, Rig.DOMAIN, Rig.LIMITS), discovery.list(), Path.of("").toAbsolutePath());
    List<String> faults = new ArrayList<>();
    for (FlightRig.Form form : List.of(FlightRig.Form.UTF8, FlightRig.Form.NULL, FlightRig.Form.LARGE_UTF8)) {
      // The two stores of cell 1 answer in another form; those of cell 0 always in the usual one.
      for (FlightRig store : List.of(stores.get(1), stores.get(3))) {
        store.form = rig.trouble ? form : FlightRig.Form.UTF8;
      }
      int wrong = 0;
      for (int i = 0; i < QUERIES; i++) {
        for (String queryClass : List.of("slot-booking", "free-search")) {
          wrong += query(rig, broker, stores, queryClass, form + "-" + queryClass + "-" + i) ? 1 : 0;
        }
      }
      rig.say("form " + form + ": " + wrong + " of " + 2 * QUERIES + " queries served with a value that no store made");
      if (wrong > 0) {
        faults.add(form + ": " + wrong + " of " + 2 * QUERIES);
      }
    }
    rig.end(
        !faults.isEmpty(),
        faults.isEmpty() ? "every value served was made by a store for its part" : "queries served with a value that no store made: " + faults);
  }

  /** Sends a query for two blocks; true if the answer holds a value that no store made for its part. */
  private static boolean query(Rig rig, Rig.Broker broker, List<FlightRig> stores, String queryClass, String id)
      throws Exception {
    String body = "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],\"predicate\":\"altos\"}";
    rig.say("client sends " + queryClass + " " + id);
    Rig.Answer answer;
    try (Rig.Client client = new Rig.Client(broker.port)) {
      client.query(queryClass, id, "3.0", "key-" + id, body.getBytes(StandardCharsets.UTF_8));
      answer = client.read(5_000);
    }
    Set<String> made = new HashSet<>();
    for (FlightRig store : stores) {
      for (Rig.Received part : store.received) {
        if (part.id().startsWith(id + ".")) {
          rig.say("  store " + store.name + " ran " + part.id() + ", form " + store.form);
          if (store.form != FlightRig.Form.NULL) {
            made.add("{\"range\":" + part.shard() + ",\"blob\":\"" + Rig.value(part) + "\"}");
          }
        }
      }
    }
    rig.say("  answer " + answer.status() + " " + answer.body().trim() + answer.why());
    if (answer.status() != 200) {
      return false; // refused or failed, which is allowed here
    }
    String rest = answer.body();
    for (String value : made) {
      rest = rest.replace(value, "");
    }
    return rest.contains("\"range\"");
  }
}

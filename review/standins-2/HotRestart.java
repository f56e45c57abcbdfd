import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** During an upgrade a bad client sends the id of another client's open request. */
final class HotRestart {
  private static final int ROUNDS = 40;
  private static final long WORK_MS = 150;

  public static void main(String[] args) throws Exception {
    Rig.main(args, HotRestart::run);
  }

  private static int run(Rig rig) throws Exception {
    List<Store> stores = new ArrayList<>();
    try (Agent agent = new Agent()) {
      for (int i = 0; i < 6; i++) {
        Store store = new Store("s-" + i);
        store.workMs = WORK_MS;
        stores.add(store);
        agent.put(store.name, Agent.entry(store.name, store.port(), i % 4 < 2 ? "abdali-room" : "tlaa-room", i % 2, "ready"));
      }
      String settings = Rig.settings(3_000_000, 4_000_000);
      Process old = rig.startOnSharedSocket(settings, agent.port(), Rig.freePort());
      Process next = rig.startOnSharedSocket(settings, agent.port(), Rig.freePort());
      rig.note("both processes are ready and accept from one socket");
      int served = 0;
      int badServed = 0;
      for (int round = 0; round < ROUNDS; round++) {
        if (round == ROUNDS / 2) {
          Rig.signal(old, "TERM");
          rig.note("SIGTERM to the old process");
        }
        String id = rig.nextId();
        boolean booking = round % 2 == 1;
        String request = Rig.query(booking ? "slot-booking" : "free-search", id, 3, 0, 1);
        Map<String, Rig.Answer> answers = new ConcurrentHashMap<>();
        CountDownLatch done = new CountDownLatch(1);
        Thread usual = new Thread(() -> ask(rig, id, "usual", request, answers, done));
        usual.setDaemon(true);
        usual.start();
        Thread.sleep(50);
        if (Rig.TROUBLE) {
          // the id of another client's open request; its own text and key
          String bad = request.replace("altos", "basso").replace("Idempotency-Key: k", "Idempotency-Key: b");
          ask(rig, id, "bad", bad, answers, null);
        }
        done.await(6, TimeUnit.SECONDS);
        served += answers.get("usual") != null && answers.get("usual").status() == 200 ? 1 : 0;
        badServed += answers.get("bad") != null && answers.get("bad").status() == 200 ? 1 : 0;
        Thread.sleep(20);
      }
      int twice = partsTwiceAtOnce(rig, stores);
      rig.note("usual queries served " + served + " of " + ROUNDS + ", bad ones served " + badServed
          + ", parts that were at stores twice at one time " + twice);
      for (Store store : stores) {
        rig.noteParts(store.name, store.parts);
        store.close();
      }
      boolean ran = next.isAlive() && served >= ROUNDS * 3 / 4;
      return !ran ? Rig.NOT_RUN : badServed > 0 || twice > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }

  private static void ask(
      Rig rig, String id, String who, String request, Map<String, Rig.Answer> answers, CountDownLatch done) {
    try (Rig.Client client = new Rig.Client(rig.listen)) {
      Rig.Answer answer = client.exchange(request, 5000);
      answers.put(who, answer);
      rig.note("query " + id + " of the " + who + " client got " + answer.status() + " " + answer.body().strip());
    } catch (Exception e) {
      rig.note("query " + id + " of the " + who + " client had no answer: " + e);
    } finally {
      if (done != null) {
        done.countDown();
      }
    }
  }

  /** Counts the parts that came to a store while the same part was in work at a store. */
  private static int partsTwiceAtOnce(Rig rig, List<Store> stores) {
    Map<String, List<Store.Part>> byId = new HashMap<>();
    stores.forEach(store -> store.parts.forEach(part -> byId.computeIfAbsent(part.id(), id -> new ArrayList<>()).add(part)));
    int twice = 0;
    for (List<Store.Part> attempts : byId.values()) {
      attempts.sort((left, right) -> Long.compare(left.atMs(), right.atMs()));
      for (int i = 1; i < attempts.size(); i++) {
        long gapMs = attempts.get(i).atMs() - attempts.get(i - 1).atMs();
        if (gapMs < WORK_MS - 10) {
          twice++;
          rig.note("DUPLICATE: part " + attempts.get(i).id() + " came again after " + gapMs + " ms, with the text "
              + attempts.get(i).text() + " (" + attempts.get(i).list() + ")");
        }
      }
    }
    return twice;
  }
}

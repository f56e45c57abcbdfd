import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Answers of stores whose frame's length does not match what follows. */
final class SpoiltLength {
  private static final int QUERIES = 200;
  private static final int ONE_IN = 25;
  private static final int SHORT_BY = 8;

  public static void main(String[] args) throws Exception {
    Rig.main(args, SpoiltLength::run);
  }

  private static int run(Rig rig) throws Exception {
    List<Store> stores = new ArrayList<>();
    AtomicInteger answers = new AtomicInteger();
    try (Agent agent = new Agent()) {
      for (int i = 0; i < 6; i++) {
        Store store = new Store("s-" + i);
        stores.add(store);
        agent.put(store.name, Agent.entry(store.name, store.port(), i % 4 < 2 ? "abdali-room" : "tlaa-room", i % 2, "ready"));
        store.writer =
            (connection, part, frame) -> {
              boolean spoil = Rig.TROUBLE && answers.incrementAndGet() % ONE_IN == 0;
              if (spoil) {
                Store.setLength(frame, frame.length - 4 - SHORT_BY);
                rig.note("spoilt " + part.id() + " of " + store.name + ": the length says "
                    + SHORT_BY + " bytes less than follow; the value made is " + part.value());
              }
              connection.send(frame);
              connection.spoilt |= spoil;
            };
      }
      rig.startBroker(Rig.settings(3_000_000, 4_000_000), agent.port(), null);
      int wrong = 0;
      int served = 0;
      for (int i = 0; i < QUERIES; i++) {
        boolean search = i % 2 == 0;
        String id = rig.nextId();
        int first = i % 4;
        int[] shards = search ? new int[] {first, first + 1, first + 2, first + 3} : new int[] {i % 8};
        try (Rig.Client client = new Rig.Client(rig.listen)) {
          Rig.Answer answer =
              client.exchange(Rig.query(search ? "free-search" : "slot-booking", id, search ? 3 : 4, shards), 6000);
          rig.note("query " + id + " got " + answer.status() + " " + answer.body().strip());
          served += answer.status() == 200 ? 1 : 0;
          for (Map.Entry<Integer, String> value : answer.values().entrySet()) {
            String partId = id + "." + value.getKey();
            boolean made = stores.stream().anyMatch(store -> store.parts.stream()
                .anyMatch(part -> part.id().equals(partId) && part.value().equals(value.getValue())));
            if (!made) {
              wrong++;
              rig.note("LOST: " + partId + " was served with " + value.getValue() + ", which no store made");
            }
          }
        }
        Thread.sleep(20);
      }
      rig.note("queries " + QUERIES + ", served " + served + ", values that no store made " + wrong);
      for (Store store : stores) {
        rig.noteParts(store.name, store.parts);
        store.close();
      }
      return served < QUERIES / 2 ? Rig.NOT_RUN : wrong > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }
}

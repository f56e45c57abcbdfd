/** The push session is reset, and a store withdraws before the new session stands. */
final class PushReset {
  private static final long WATCH_MS = 20_000;

  public static void main(String[] args) throws Exception {
    Rig.main(args, PushReset::run);
  }

  private static int run(Rig rig) throws Exception {
    try (Calendar calendar = new Calendar(rig, 6)) {
      int push = calendar.names.startPush(rig.folder);
      rig.startBroker(
          Rig.settings(3_000_000, 4_000_000),
          1,
          "discovery off\n[dns_sd rooms]\nserver 127.0.0.1:" + calendar.names.port() + "\nservice " + Calendar.SERVICE
              + "\npush localhost:" + push + "\npush_trust " + calendar.names.trust() + "\n");
      while (calendar.names.subscriptions() < 14) {
        Thread.sleep(20); // PTR, six SRV, six TXT and one A record
      }
      calendar.startLoad();
      Thread.sleep(4000);
      Store store = calendar.stores.get(0);
      if (Rig.TROUBLE) {
        rig.note("the push session is ended by the server; it accepts a new one at once");
        calendar.names.cutSessions(false);
        while (calendar.names.sessions() > 0) {
          Thread.sleep(1);
        }
      }
      long withdrawnMs = calendar.withdraw(store);
      long fromMs = withdrawnMs + Calendar.TOLD_MS + Calendar.GRACE_MS;
      Thread.sleep(3000);
      rig.note("push sessions " + calendar.names.sessions() + ", subscriptions " + calendar.names.subscriptions());
      boolean renewed = calendar.names.sessions() == 1 && calendar.names.subscriptions() > 10;
      Thread.sleep(WATCH_MS - 3000);
      calendar.partsBetween(store, withdrawnMs, withdrawnMs + 1000);
      int late = calendar.partsBetween(store, fromMs, Rig.nowMs());
      rig.note("served " + calendar.served.get());
      return !renewed || calendar.served.get() < 100 ? Rig.NOT_RUN : late > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }
}

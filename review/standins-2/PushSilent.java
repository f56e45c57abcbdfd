/** The push session falls silent, and a store withdraws a second later; the name server answers all the time. */
final class PushSilent {
  private static final long WATCH_MS = 20_000;

  public static void main(String[] args) throws Exception {
    Rig.main(args, PushSilent::run);
  }

  private static int run(Rig rig) throws Exception {
    try (Calendar calendar = new Calendar(rig, 6);
        Relay relay = new Relay(calendar.names.startPush(rig.folder))) {
      rig.startBroker(
          Rig.settings(3_000_000, 4_000_000),
          1,
          "discovery off\n[dns_sd rooms]\nserver 127.0.0.1:" + calendar.names.port() + "\nservice " + Calendar.SERVICE
              + "\npush localhost:" + relay.port() + "\npush_trust " + calendar.names.trust() + "\nsoa_every 250ms\n");
      while (calendar.names.subscriptions() < 14) {
        Thread.sleep(20); // PTR, six SRV, six TXT and one A record
      }
      calendar.startLoad();
      Thread.sleep(4000);
      Store store = calendar.stores.get(0);
      if (Rig.TROUBLE) {
        rig.note("the open push session falls silent; new ones pass");
        relay.silence();
      }
      Thread.sleep(1000);
      long withdrawnMs = calendar.withdraw(store);
      Thread.sleep(WATCH_MS);
      calendar.partsBetween(store, withdrawnMs, withdrawnMs + 1000);
      int late = calendar.partsBetween(store, withdrawnMs + Calendar.TOLD_MS + Calendar.GRACE_MS, Rig.nowMs());
      rig.note("served " + calendar.served.get());
      return calendar.served.get() < 100 ? Rig.NOT_RUN : late > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }
}

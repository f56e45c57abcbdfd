package dunlinhitch.endpoints;

/**
 * Flap damping: an endpoint that returns again and again is held down before it serves, each time
 * twice as long, up to a bound.
 *
 * <p>Stateless but for the settings; the state is in the {@link FlapHistory} of each endpoint.
 */
final class FlapDamping {
  /** Withdrawals up to this number have no hold-down. */
  private static final int UNDAMPED_WITHDRAWALS = 1;

  /** Bound of the doublings, so that the shift can not overflow. */
  private static final int MAX_DOUBLINGS = 20;

  private final EndpointRegistrySettings settings;

  FlapDamping(EndpointRegistrySettings settings) {
    this.settings = settings;
  }

  void onWithdrawal(FlapHistory history, long nowUs) {
    boolean quietSince = nowUs - history.lastWithdrawalUs > settings.calmUs();
    history.withdrawals = quietSince ? 1 : history.withdrawals + 1;
    history.lastWithdrawalUs = nowUs;
  }

  /** Starts the hold-down of an endpoint that is claimed again. */
  void onReturn(FlapHistory history, long nowUs) {
    history.holdUntilUs = nowUs + holdDownUs(history);
  }

  boolean isHeldDown(FlapHistory history, long nowUs) {
    return nowUs < history.holdUntilUs;
  }

  private long holdDownUs(FlapHistory history) {
    int damped = history.withdrawals - UNDAMPED_WITHDRAWALS;
    if (damped <= 0) {
      return 0;
    }
    int doublings = Math.min(MAX_DOUBLINGS, damped - 1);
    return Math.min(settings.mostHoldUs(), settings.firstHoldUs() << doublings);
  }
}

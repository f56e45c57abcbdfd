package dunlinhitch.endpoints;

/**
 * Flap damping: an endpoint that is repeatedly withdrawn and claimed again is suppressed before it
 * serves again. The suppression doubles with each return, up to a maximum.
 *
 * <p>Instances contain only settings. The state is in the {@link FlapHistory} of each endpoint.
 */
final class FlapDamping {
  /** A return is not suppressed if the endpoint has at most this number of recent withdrawals. */
  private static final int UNDAMPED_WITHDRAWALS = 1;

  /** The maximum number of doublings, so that the shift cannot overflow. */
  private static final int MAX_DOUBLINGS = 20;

  private final EndpointRegistrySettings settings;

  FlapDamping(EndpointRegistrySettings settings) {
    this.settings = settings;
  }

  void onWithdrawal(FlapHistory history, long nowUs) {
    boolean wasStable = nowUs - history.lastWithdrawalUs > settings.stablePeriodUs();
    history.withdrawals = wasStable ? 1 : history.withdrawals + 1;
    history.lastWithdrawalUs = nowUs;
  }

  /** Starts the suppression of an endpoint that is claimed again. */
  void onReturn(FlapHistory history, long nowUs) {
    history.suppressedUntilUs = nowUs + suppressionUs(history);
  }

  boolean isSuppressed(FlapHistory history, long nowUs) {
    return nowUs < history.suppressedUntilUs;
  }

  private long suppressionUs(FlapHistory history) {
    int damped = history.withdrawals - UNDAMPED_WITHDRAWALS;
    if (damped <= 0) {
      return 0;
    }
    int doublings = Math.min(MAX_DOUBLINGS, damped - 1);
    return Math.min(settings.maxSuppressionUs(), settings.firstSuppressionUs() << doublings);
  }
}

package dunlinhitch.endpoints;

/** The recent withdrawals of an endpoint; written by {@link FlapDamping}. */
final class FlapHistory {
  /** The number of withdrawals that followed each other within the stable period. */
  int withdrawals;

  /** When the last withdrawal was, in microseconds. */
  long lastWithdrawalUs;

  /** End of the suppression of the last return, in microseconds. */
  long suppressedUntilUs;
}

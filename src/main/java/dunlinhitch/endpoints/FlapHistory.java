package dunlinhitch.endpoints;

/** The recent withdrawals of an endpoint; written by {@link FlapDamping}. */
final class FlapHistory {
  /** The number of withdrawals, each within one stable period of the previous one. */
  int withdrawals;

  /** The time of the last withdrawal, in microseconds. */
  long lastWithdrawalUs;

  /** The time until which the last return is suppressed, in microseconds. */
  long suppressedUntilUs;
}

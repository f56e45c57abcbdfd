package dunlinhitch.endpoints;

/** How often an endpoint was withdrawn of late; {@link FlapDamping} writes it. */
final class FlapHistory {
  /** Withdrawals that followed each other within the stable period. */
  int withdrawals;

  /** When the last of them was, in microseconds. */
  long lastWithdrawalUs;

  /** End of the suppression of the last return, in microseconds. */
  long suppressedUntilUs;
}

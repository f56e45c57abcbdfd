package dunlinhitch.endpoints;

/** How often an endpoint was withdrawn of late; {@link FlapDamping} writes it. */
final class FlapHistory {
  /** Withdrawals that followed each other within the quiet period. */
  int withdrawals;

  /** When the last of them was, in microseconds. */
  long lastWithdrawalUs;

  /** End of the hold-down of the last return, in microseconds. */
  long holdUntilUs;
}

package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;

/**
 * Logs attempts that ended without an answer and the retries that follow. A log line contains the
 * part's id and the endpoint's name; clients and endpoints use the same id and name. Writes at most
 * {@value #LINES_PER_SECOND} lines per second, because an outage affects many attempts at once;
 * suppressed lines are counted. Owned by the reducer; not thread-safe.
 */
final class AttemptLog {
  private static final int LINES_PER_SECOND = 10;
  private static final long SECOND_US = 1_000_000;
  private static final long US_PER_MS = 1_000;

  private final TurnContext context;
  private final Counters counters;
  private long secondStartUs;
  private int linesThisSecond;
  private long omittedLines;

  AttemptLog(TurnContext context, Counters counters) {
    this.context = context;
    this.counters = counters;
    secondStartUs = context.nowUs();
  }

  /** Logs an attempt that is about to be sent, unless it is the first attempt of its part. */
  void onRepeated(InFlightAttempt attempt) {
    counters.add(Counter.ATTEMPTS_REPEATED);
    write(subject(attempt) + " is a retry or hedged attempt");
  }

  /**
   * Logs the end of an attempt. Nothing is logged if the attempt was answered or superseded, or if
   * its part is closed.
   */
  void onEnded(InFlightAttempt attempt, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.MOOT || attempt.part().closed) {
      return;
    }
    write(subject(attempt) + " ended with outcome " + outcome + " after " + ageMs(attempt) + " ms");
  }

  /** Logs that an unconfirmed attempt was released: its endpoint will no longer execute it. */
  void onReleased(InFlightAttempt attempt) {
    write(
        subject(attempt)
            + " was released by the endpoint "
            + ageMs(attempt)
            + " ms after it was sent");
  }

  private static String subject(InFlightAttempt attempt) {
    return "attempt "
        + attempt.id()
        + " of part "
        + attempt.part().id
        + " at endpoint "
        + attempt.endpoint().name();
  }

  private long ageMs(InFlightAttempt attempt) {
    return (context.nowUs() - attempt.sentUs()) / US_PER_MS;
  }

  private void write(String line) {
    if (context.nowUs() - secondStartUs >= SECOND_US) {
      secondStartUs = context.nowUs();
      linesThisSecond = 0;
    }
    if (linesThisSecond >= LINES_PER_SECOND) {
      omittedLines++;
      return;
    }
    linesThisSecond++;
    String omitted = omittedLines == 0 ? "" : " (" + omittedLines + " earlier lines suppressed)";
    omittedLines = 0;
    context.log(line + omitted);
  }
}

package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Hangup signals that arrive before and after the task is set. */
class HangupSignalsTest {
  /** All signals before the task is set cause one run; each later signal causes one. */
  @Test
  void signalsBeforeTaskIsSetRunItOnce() {
    HangupSignals signals = new HangupSignals();
    int[] runs = {0};
    signals.onSignal();
    signals.onSignal();
    signals.setTask(() -> runs[0]++);
    assertEquals(1, runs[0]);
    signals.onSignal();
    signals.onSignal();
    assertEquals(3, runs[0]);
  }
}

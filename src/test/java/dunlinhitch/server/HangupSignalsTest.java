package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Hangup signals that arrive before and after there is a task for them. */
class HangupSignalsTest {
  /** All signals before there is a task are one run of it; each later signal is one. */
  @Test
  void signalsBeforeThereIsATaskRunItOnce() {
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

package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Hangup signals that arrive before and after there is a task for them. */
class HangupSignalsTest {
  /** Whatever came before there was a task is one run of it; from then on each is one. */
  @Test
  void hangUpsAreKeptUntilThereIsATask() {
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

package dunlinhitch.endpoints;

/**
 * The time of an {@link EndpointRegistry} and its pending timers. Time comes from the caller and
 * never runs back; there is no clock here.
 *
 * <p>Not thread-safe; the registry owns it.
 */
final class RegistryTimers {
  private final TimingWheel<Runnable> wheel;
  private long nowUs;

  RegistryTimers(long nowUs) {
    this.nowUs = nowUs;
    wheel = new TimingWheel<>(nowUs);
  }

  /** Time of the call in progress, in microseconds. */
  long nowUs() {
    return nowUs;
  }

  /** Sets the time, unless it would run back, and runs the timers that are due. */
  void advance(long callTimeUs) {
    nowUs = Math.max(nowUs, callTimeUs);
    wheel.advance(nowUs, Runnable::run);
  }

  TimingWheel.Handle<Runnable> schedule(long dueUs, Runnable action) {
    return wheel.schedule(dueUs, action);
  }

  /** Cancels a timer; null and a timer that has run are ignored. */
  void cancel(TimingWheel.Handle<Runnable> timer) {
    wheel.cancel(timer);
  }

  /** When {@link #advance} is needed next, or {@link TimingWheel#NEVER}. */
  long nextUs() {
    return wheel.nextUs();
  }
}

package dunlinhitch.endpoints;

/**
 * The current time of an {@link EndpointRegistry} and its pending timers. The caller passes the
 * time, which never decreases.
 *
 * <p>Not thread-safe; owned by the registry.
 */
final class RegistryTimers {
  private final TimingWheel<Runnable> wheel;
  private long nowUs;

  RegistryTimers(long nowUs) {
    this.nowUs = nowUs;
    wheel = new TimingWheel<>(nowUs);
  }

  /** The time of the current call, in microseconds. */
  long nowUs() {
    return nowUs;
  }

  /**
   * Advances the time and runs the timers that are due. An earlier time than the current one is
   * ignored.
   */
  void advance(long callTimeUs) {
    nowUs = Math.max(nowUs, callTimeUs);
    wheel.advance(nowUs, Runnable::run);
  }

  TimingWheel.Handle<Runnable> schedule(long dueUs, Runnable action) {
    return wheel.schedule(dueUs, action);
  }

  /** Cancels a timer. Has no effect if {@code timer} is null or has run. */
  void cancel(TimingWheel.Handle<Runnable> timer) {
    wheel.cancel(timer);
  }

  /** The latest time at which {@link #advance} must be called, or {@link TimingWheel#NEVER}. */
  long nextUs() {
    return wheel.nextUs();
  }
}

package dunlinhitch.backend.flight;

import dunlinhitch.backend.ExactText;
import dunlinhitch.backend.RequestText;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightDescriptor;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightRuntimeException;

/**
 * One first pass over Flight: GetFlightInfo of a command that is the part's text of a call. {@code
 * total_records} says how many records there are, {@code app_metadata} is {@code VERSION REPORT
 * VALUE}, the value being the empty one. Runs on a thread of its own.
 */
final class FlightFirst implements Runnable {
  private static final int WORDS = 3;
  private final FlightStores shared;
  private final FlightClient client;
  private final BooleanSupplier barred;
  private final Consumer<Event.AttemptCompleted> over;
  private final Consumer<Event.FirstPassCompleted> came;
  private final AttemptRequest part;
  private volatile boolean stopped;

  FlightFirst(
      FlightStores shared,
      FlightClient client,
      AttemptRequest part,
      BooleanSupplier barred,
      Consumer<Event.AttemptCompleted> over,
      Consumer<Event.FirstPassCompleted> came) {
    this.shared = shared;
    this.client = client;
    this.part = part;
    this.barred = barred;
    this.over = over;
    this.came = came;
  }

  /** It leaves no more if it has not yet. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    long now = shared.nowUs();
    if (stopped || barred.getAsBoolean() || !part.mayLeave(now)) {
      end(AttemptOutcome.CONNECT_FAILED); // it never left
      return;
    }
    try {
      FlightInfo info =
          client.getInfo(
              FlightDescriptor.command(RequestText.of(List.of(part), now)),
              FlightTransport.until(part.dueUs(), now));
      shared.onLoop(() -> shared.events().accept(new Event.AttemptsWritten(1)));
      String text = info.getAppMetadata() == null ? null : ExactText.of(info.getAppMetadata());
      String[] words = text == null ? new String[0] : text.split(" ", WORDS);
      if (words.length != WORDS || info.getRecords() < 0) {
        shared.onLoop(
            () ->
                shared
                    .events()
                    .accept(new Event.ConditionCounted(dunlinhitch.core.Counter.BAD_FRAMES)));
        end(AttemptOutcome.RESET);
        return;
      }
      long cameUs = shared.nowUs();
      shared.onLoop(
          () ->
              came.accept(
                  new Event.FirstPassCompleted(
                      part.attempt(),
                      cameUs,
                      shared.reports().read(words[1]),
                      info.getRecords(),
                      words[0],
                      words[2])));
    } catch (FlightRuntimeException e) {
      end(
          switch (e.status().code()) {
            case UNAVAILABLE, CANCELLED, TIMED_OUT -> AttemptOutcome.RESET;
            case RESOURCE_EXHAUSTED -> AttemptOutcome.FULL;
            default -> AttemptOutcome.ERROR;
          });
    }
  }

  private void end(AttemptOutcome outcome) {
    shared.onLoop(() -> over.accept(Event.AttemptCompleted.of(part.attempt(), outcome)));
  }
}

package dunlinhitch.backend.flight;

import dunlinhitch.backend.RequestText;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.text.ExactText;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightDescriptor;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightRuntimeException;

/**
 * One first-pass attempt over Flight: a GetFlightInfo whose command descriptor contains the text of
 * a call. In the reply, {@code total_records} is the number of records and {@code app_metadata} is
 * {@code VERSION REPORT VALUE}, where {@code VALUE} is the value of an empty block.
 *
 * <p>Runs on a reader thread; {@code onCompleted} and {@code onReply} are called on the event loop.
 */
final class FlightFirstPassCall implements Runnable {
  private static final int METADATA_FIELDS = 3;

  private final FlightTransports shared;
  private final FlightClient client;
  private final BooleanSupplier mustNotSend;
  private final Consumer<Event.AttemptCompleted> onCompleted;
  private final Consumer<Event.FirstPassCompleted> onReply;
  private final AttemptRequest part;
  private final AfterSending afterSending = new AfterSending();
  private volatile boolean stopped;

  /**
   * Creates a call that is not sent yet.
   *
   * @param mustNotSend evaluated on the reader thread just before the call is sent; if true, the
   *     call is not sent and fails with {@code CONNECT_FAILED}
   * @param onCompleted receives the outcome if the call ends without a reply
   */
  FlightFirstPassCall(
      FlightTransports shared,
      FlightClient client,
      AttemptRequest part,
      BooleanSupplier mustNotSend,
      Consumer<Event.AttemptCompleted> onCompleted,
      Consumer<Event.FirstPassCompleted> onReply) {
    this.shared = shared;
    this.client = client;
    this.part = part;
    this.mustNotSend = mustNotSend;
    this.onCompleted = onCompleted;
    this.onReply = onReply;
  }

  /** Prevents the call from being sent if it was not sent yet. */
  void stop() {
    stopped = true;
  }

  /** The id of the part that this call requests. */
  String partId() {
    return part.partId();
  }

  /** Runs a task once the call was sent. Called on the event loop. */
  void afterSending(Runnable task) {
    afterSending.run(task);
  }

  /** Completes a call that could not be sent. */
  void fail() {
    complete(Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.CONNECT_FAILED));
  }

  @Override
  public void run() {
    try {
      long nowUs = shared.nowUs();
      if (stopped || mustNotSend.getAsBoolean() || !part.maySendAt(nowUs)) {
        fail();
        return;
      }
      FlightDescriptor request = FlightDescriptor.command(RequestText.of(List.of(part), nowUs));
      FlightInfo info =
          SendHook.call(
              () -> client.getInfo(request, FlightTransport.timeout(part.dueUs(), nowUs)),
              () -> shared.onLoop(afterSending::onSent));
      shared.onLoop(() -> shared.events().accept(new Event.AttemptsWritten(1)));
      handle(info);
    } catch (FlightRuntimeException e) {
      complete(completionOf(e));
    } catch (RuntimeException | Error fault) {
      // nothing else would end the attempt; it may have run
      complete(Event.AttemptCompleted.unconfirmed(part.attempt(), AttemptOutcome.RESET));
      shared.reportFault(fault);
    }
  }

  private void handle(FlightInfo info) {
    String metadata = info.getAppMetadata() == null ? null : ExactText.of(info.getAppMetadata());
    String[] fields = metadata == null ? new String[0] : metadata.split(" ", METADATA_FIELDS);
    if (fields.length != METADATA_FIELDS || info.getRecords() < 0) {
      shared.onLoop(() -> shared.events().accept(new Event.ConditionCounted(Counter.BAD_FRAMES)));
      complete(Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.RESET));
      return;
    }
    long receivedUs = shared.nowUs();
    shared.onLoop(
        () ->
            onReply.accept(
                new Event.FirstPassCompleted(
                    part.attempt(),
                    receivedUs,
                    shared.reports().parse(fields[1]),
                    info.getRecords(),
                    fields[0],
                    fields[2])));
  }

  private Event.AttemptCompleted completionOf(FlightRuntimeException failure) {
    return switch (failure.status().code()) {
      // this side has created the status, and the store may still have the attempt
      case CANCELLED, TIMED_OUT ->
          Event.AttemptCompleted.unconfirmed(part.attempt(), AttemptOutcome.RESET);
      case UNAVAILABLE -> Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.RESET);
      case RESOURCE_EXHAUSTED -> Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.FULL);
      default -> Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.ERROR);
    };
  }

  private void complete(Event.AttemptCompleted completion) {
    shared.onLoop(() -> onCompleted.accept(completion));
  }
}

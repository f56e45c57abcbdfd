package dunlinhitch.backend.flight;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.arrow.flight.Action;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.Result;

/**
 * Runs DoAction calls to one store on the action threads. Its methods are called on the event loop,
 * and results are delivered on the event loop.
 */
final class FlightActions {
  private static final String HEALTH_CHECK = "probe";
  private static final String CANCEL = "give-up";

  private final FlightTransports shared;
  private final FlightClient client;
  private final BooleanSupplier isDisabled;

  /**
   * Creates the actions of one store.
   *
   * @param isDisabled evaluated on the action thread just before a health check is sent; if true,
   *     the check fails without being sent
   */
  FlightActions(FlightTransports shared, FlightClient client, BooleanSupplier isDisabled) {
    this.shared = shared;
    this.client = client;
    this.isDisabled = isDisabled;
  }

  /** Requests the load report; the result is empty if the request failed. */
  void checkHealth(long dueUs, Consumer<Optional<String>> onResult) {
    submit(HEALTH_CHECK, "", dueUs, onResult);
  }

  /**
   * Notifies the store that the result of a part is no longer needed.
   *
   * @param onConfirmed called only after the store has confirmed the notification
   */
  void cancelPart(String partId, long dueUs, Runnable onConfirmed) {
    submit(CANCEL, partId, dueUs, result -> result.ifPresent(ignored -> onConfirmed.run()));
  }

  private void submit(String type, String body, long dueUs, Consumer<Optional<String>> onResult) {
    try {
      shared
          .actions()
          .execute(
              () -> {
                Optional<String> result = run(type, body, dueUs);
                shared.onLoop(() -> onResult.accept(result));
              });
    } catch (RejectedExecutionException e) {
      onResult.accept(Optional.empty());
    }
  }

  /**
   * Returns the action's first result, or an empty text if the action succeeded without a result;
   * returns an empty {@code Optional} if the action failed.
   */
  private Optional<String> run(String type, String body, long dueUs) {
    try {
      if (isDisabled.getAsBoolean() && type.equals(HEALTH_CHECK)) {
        return Optional.empty();
      }
      Iterator<Result> results =
          client.doAction(
              new Action(type, body.getBytes(StandardCharsets.UTF_8)),
              FlightTransport.timeout(dueUs, shared.nowUs()));
      String first = null;
      // reads the whole stream, because only its end shows whether the action succeeded
      while (results.hasNext()) {
        byte[] bytes = results.next().getBody();
        first = first == null ? new String(bytes, StandardCharsets.UTF_8) : first;
      }
      return Optional.of(first == null ? "" : first);
    } catch (FlightRuntimeException e) {
      return Optional.empty(); // the store is unreachable or does not implement the action
    } catch (RuntimeException | Error fault) {
      shared.reportFault(fault); // without a result no further liveness check would be sent
      return Optional.empty();
    }
  }
}

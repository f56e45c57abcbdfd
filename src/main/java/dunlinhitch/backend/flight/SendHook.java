package dunlinhitch.backend.flight;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ForwardingClientCall.SimpleForwardingClientCall;
import io.grpc.MethodDescriptor;
import java.util.function.Supplier;

/**
 * Runs a hook as soon as a blocking call has passed its request to the connection, which is before
 * the call returns. A call that starts on the same connection after the hook has run cannot
 * overtake this request.
 *
 * <p>Thread-safe: the hook is stored per calling thread.
 */
final class SendHook implements ClientInterceptor {
  private static final ThreadLocal<Runnable> HOOK = new ThreadLocal<>();

  /**
   * Makes a call on this thread and runs the hook, on the same thread, once the request is sent.
   */
  static <T> T call(Supplier<T> call, Runnable onSent) {
    HOOK.set(onSent);
    try {
      return call.get();
    } finally {
      HOOK.remove();
    }
  }

  @Override
  public <Q, R> ClientCall<Q, R> interceptCall(
      MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
    ClientCall<Q, R> call = next.newCall(method, options);
    Runnable hook = HOOK.get();
    if (hook == null) {
      return call;
    }
    return new SimpleForwardingClientCall<>(call) {
      @Override
      public void halfClose() {
        super.halfClose();
        hook.run();
      }
    };
  }
}

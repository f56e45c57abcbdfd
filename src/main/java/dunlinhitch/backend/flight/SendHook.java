package dunlinhitch.backend.flight;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ForwardingClientCall.SimpleForwardingClientCall;
import io.grpc.MethodDescriptor;
import java.util.function.Supplier;

/**
 * Tells when a blocking call has handed its request to the connection, which the call itself does
 * not before its reply: whatever is called on the same connection from then on is sent behind it.
 *
 * <p>Thread-safe: a hook belongs to the thread that makes the call.
 */
final class SendHook implements ClientInterceptor {
  private static final ThreadLocal<Runnable> HOOK = new ThreadLocal<>();

  /** Makes a call on this thread and runs the hook, on this thread, once its request is sent. */
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

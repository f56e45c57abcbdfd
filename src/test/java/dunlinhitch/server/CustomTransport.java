package dunlinhitch.server;

import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;

/** Base class of transports with which tests create their own channels. */
public abstract class CustomTransport extends NioTransport implements Transport {
  @Override
  public String name() {
    return "own";
  }

  @Override
  public boolean available() {
    return true;
  }

  @Override
  public Throwable unavailabilityCause() {
    return null;
  }

  @Override
  public io.vertx.core.spi.transport.Transport implementation() {
    return this;
  }
}

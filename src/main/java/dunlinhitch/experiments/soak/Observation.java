package dunlinhitch.experiments.soak;

/** An event observed outside of the brokers. All times are microseconds of the same clock. */
public sealed interface Observation {
  /** Returns the time of the event. */
  long atUs();

  /**
   * Returns the query that the event concerns. For an event without a query, returns the endpoint
   * or the broker.
   */
  String subject();

  /**
   * How a request ended, as observed by its client. {@code LEFT} means that the client closed its
   * connection before the answer.
   */
  enum RequestEnd {
    SERVED,
    REJECTED,
    FAILED,
    LEFT,
    BROKEN
  }

  /** A client sent a request. */
  record RequestSent(long atUs, String query, String broker, String queryClass, long timeoutUs)
      implements Observation {
    @Override
    public String subject() {
      return query;
    }
  }

  /** A request ended, as observed by its client. */
  record RequestEnded(long atUs, String query, RequestEnd end) implements Observation {
    @Override
    public String subject() {
      return query;
    }
  }

  /**
   * The proxy between a broker and a store received the last byte of an attempt from the broker.
   *
   * @param timeoutUs the timeout that is stated in the attempt
   */
  record AttemptSent(long atUs, String part, String broker, String store, long timeoutUs)
      implements Observation {
    @Override
    public String subject() {
      return queryOf(part);
    }
  }

  /** A store read an attempt from one of its connections. */
  record AttemptRead(long atUs, String part, String store, int connection) implements Observation {
    @Override
    public String subject() {
      return queryOf(part);
    }
  }

  /**
   * An attempt is over at a store: the store has answered the attempt, has read its cancellation or
   * has detected that its connection is closed.
   */
  record AttemptOver(long atUs, String part, String store, int connection) implements Observation {
    @Override
    public String subject() {
      return queryOf(part);
    }
  }

  /** Discovery notified a broker that an endpoint is ready or is no longer ready. */
  record EndpointTold(long atUs, String broker, String store, boolean ready)
      implements Observation {
    @Override
    public String subject() {
      return store;
    }
  }

  /** A broker was asked to terminate. A broker that does not terminate is killed later. */
  record BrokerStopped(long atUs, String broker) implements Observation {
    @Override
    public String subject() {
      return broker;
    }
  }

  /** Returns the query id that a part id begins with. */
  static String queryOf(String part) {
    return part.substring(0, part.indexOf('.'));
  }
}

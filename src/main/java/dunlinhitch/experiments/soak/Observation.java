package dunlinhitch.experiments.soak;

/** Something that was seen outside of the brokers. Times are microseconds of one clock. */
public sealed interface Observation {
  /** When it was seen. */
  long atUs();

  /** The query that it belongs to, or the endpoint or broker where it belongs to none. */
  String subject();

  /** How a request ended for its client. */
  enum RequestEnd {
    SERVED,
    REJECTED,
    FAILED,
    LEFT,
    BROKEN
  }

  /** A client has sent a request. */
  record RequestSent(long atUs, String query, String broker, String queryClass, long timeoutUs)
      implements Observation {
    @Override
    public String subject() {
      return query;
    }
  }

  /** A request has ended for its client. */
  record RequestEnded(long atUs, String query, RequestEnd end) implements Observation {
    @Override
    public String subject() {
      return query;
    }
  }

  /**
   * The network has taken an attempt from a broker, to its last byte.
   *
   * @param timeoutUs the time that the attempt tells its store
   */
  record AttemptSent(long atUs, String part, String broker, String store, long timeoutUs)
      implements Observation {
    @Override
    public String subject() {
      return queryOf(part);
    }
  }

  /** A store has read an attempt from one of its connections. */
  record AttemptRead(long atUs, String part, String store, int connection) implements Observation {
    @Override
    public String subject() {
      return queryOf(part);
    }
  }

  /** A store has answered an attempt, read its cancellation, or seen its connection end. */
  record AttemptOver(long atUs, String part, String store, int connection) implements Observation {
    @Override
    public String subject() {
      return queryOf(part);
    }
  }

  /** Discovery has told a broker that an endpoint takes work, or that it does not. */
  record EndpointTold(long atUs, String broker, String store, boolean ready)
      implements Observation {
    @Override
    public String subject() {
      return store;
    }
  }

  /** A broker was asked to end, and is killed if it does not. */
  record BrokerStopped(long atUs, String broker) implements Observation {
    @Override
    public String subject() {
      return broker;
    }
  }

  /** The query of a part's id. */
  static String queryOf(String part) {
    return part.substring(0, part.indexOf('.'));
  }
}

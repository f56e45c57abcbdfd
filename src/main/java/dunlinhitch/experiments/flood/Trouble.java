package dunlinhitch.experiments.flood;

/** What the misbehaving clients of a run do. */
public enum Trouble {
  /** Nothing: the base line. */
  NONE,
  /** Pipelines of queries that have neither an id nor a time. */
  FLOOD_WITHOUT_ID,
  /** Pipelines of requests for the readiness page. */
  FLOOD_OF_PAGES,
  /** Pipelines of queries, each of another class that does not exist. */
  FLOOD_OF_CLASSES,
  /** Pipelines of valid queries. */
  FLOOD_OF_QUERIES,
  /** Pipelines of valid queries whose answers are never read. */
  FLOOD_UNREAD,
  /** Pipelines of requests of all kinds, valid and invalid, drawn from a grammar. */
  FLOOD_MIXED,
  /** Requests for the operators' pages, pipelined on the operators' address. */
  FLOOD_OF_ADMIN_PAGES,
  /** A new connection for each request, which is closed at once. */
  FLOOD_OF_CONNECTIONS,
  /** Some hundred connections that stop in the head of a request. */
  CROWD_IN_HEAD,
  /** Some hundred connections that stop in the head after very many short fields. */
  CROWD_MANY_FIELDS,
  /** Some hundred connections with a head of very many fields and most of a large body. */
  CROWD_FIELDS_AND_BODY,
  /** Some hundred connections that stop half way through a large body. */
  CROWD_IN_BODY;

  /**
   * Returns true if the clients open many connections that they leave in the middle of a request.
   */
  public boolean isCrowd() {
    return name().startsWith("CROWD");
  }
}

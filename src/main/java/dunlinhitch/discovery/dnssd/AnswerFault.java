package dunlinhitch.discovery.dnssd;

/** Faults of an answer that are counted; none of them ends the discovery. */
enum AnswerFault {
  /** The records of an instance make no endpoint. */
  INVALID_INSTANCE,
  /** More instances are listed than the limit allows. */
  INSTANCE_LIMIT,
  /** A CNAME record leads to a name without an answer, or in a loop. */
  UNRESOLVED_ALIAS,
  /** A negative answer without the AA bit, which is not believed. */
  NOT_AUTHORITATIVE
}

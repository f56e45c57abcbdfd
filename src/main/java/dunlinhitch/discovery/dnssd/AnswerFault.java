package dunlinhitch.discovery.dnssd;

/** Faults in DNS answers. They are counted, and discovery continues. */
enum AnswerFault {
  /** The records of an instance do not describe a usable endpoint. */
  INVALID_INSTANCE,
  /** More instances are listed than the limit allows. */
  INSTANCE_LIMIT,
  /** A CNAME chain loops, or ends at a name for which the response has no records. */
  UNRESOLVED_ALIAS,
  /** A negative answer lacks the AA bit and is ignored. */
  NOT_AUTHORITATIVE,
  /** An answer is truncated, also over TCP; records that it does not list are kept. */
  TRUNCATED
}

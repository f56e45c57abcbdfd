package dunlinhitch.simulator;

/** Record codes of the simulator's protocol. */
final class RecordCode {
  // Codes of the records in batches, which the simulator sends.
  static final int ATTEMPT_STARTED = 16;
  static final int SERVER_LIST_PAGE = 17;
  static final int CLIENT_DISCONNECTED = 18;
  static final int ATTEMPT_COMPLETED = 19;
  static final int INSTANCE_STARTED = 20;
  static final int TIMER_FIRED = 21;
  static final int SERVER_LIST_UPDATED = 22;
  static final int HEALTH_CHECK_COMPLETED = 23;
  static final int PEER_MESSAGE_RECEIVED = 24;
  static final int WORK_ARRIVED = 25;
  static final int INSTANCE_STOPPED = 26;

  // Codes of the records in replies, which the simulator receives.
  static final int SEND = 80;
  static final int REJECT = 81;
  static final int FAIL = 82;
  static final int CANCEL = 83;
  static final int SCHEDULE_TIMER = 84;
  static final int SEND_HEALTH_CHECK = 85;
  static final int CLOSE_IDLE_CONNECTIONS = 86;
  static final int LOG = 88;
  static final int PANIC = 89;
  static final int SUBSCRIBE_TO_SERVER_LIST = 90;
  static final int ANSWER = 92;

  private RecordCode() {}
}

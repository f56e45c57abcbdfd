package dunlinhitch.endpoints;

/** Why a store has the status that it has. */
public enum StatusReason {
  CLAIMED("it is claimed"),
  PAST_ITS_TIME("its records are past their time and its source is silent"),
  WANTS_NOTHING("it drains"),
  TAKEN_BACK("its record was withdrawn"),
  RAN_OUT("its records ran out and its source stayed silent"),
  SOURCE_LEFT("its source is no longer used"),
  OTHER_CELLS("two claims name other cells"),
  OTHER_ADDRESSES("two claims name other addresses"),
  OTHER_STARTS("two claims name other starts"),
  SHARED_ADDRESS("another id is at the same address"),
  CAME_AND_WENT("it came and went too often"),
  NOT_CLAIMED("nobody claims it");

  private final String words;

  StatusReason(String words) {
    this.words = words;
  }

  /** For the operators. */
  public String words() {
    return words;
  }
}

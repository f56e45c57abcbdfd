package dunlinhitch.experiments.testbed;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of faults of a {@link FaultSchedule}. Lasting faults have a begin and an end, the
 * others happen at one time and are for brokers only.
 */
enum FaultKind {
  ALONE("alone", true, 1),
  CUT("cut", true, FaultKind.ANY_NUMBER),
  LATE("late", true, 2),
  LOSE("lose", true, 2),
  MUTE("mute", true, 2),
  SLOW("slow", true, 2),
  RESET("reset", false, 1),
  KILL("kill", false, 1),
  END("end", false, 1),
  START("start", false, 1);

  /** The target count of a kind that takes one target or more. */
  static final int ANY_NUMBER = -1;

  private final String keyword;
  private final boolean lasting;
  private final int targetCount;

  FaultKind(String keyword, boolean lasting, int targetCount) {
    this.keyword = keyword;
    this.lasting = lasting;
    this.targetCount = targetCount;
  }

  /** The kind that a schedule writes as this keyword; empty if there is none. */
  static Optional<FaultKind> of(String keyword) {
    return Arrays.stream(values()).filter(kind -> kind.keyword.equals(keyword)).findFirst();
  }

  /** The word that a schedule has for this kind. */
  String keyword() {
    return keyword;
  }

  /** True if the fault has a begin and an end. */
  boolean isLasting() {
    return lasting;
  }

  /** True if the last argument of the fault is a time. */
  boolean hasDelay() {
    return this == LATE || this == SLOW;
  }

  /** The number of targets, or {@link #ANY_NUMBER}. */
  int targetCount() {
    return targetCount;
  }
}

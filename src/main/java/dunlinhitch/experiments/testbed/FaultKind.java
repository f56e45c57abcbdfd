package dunlinhitch.experiments.testbed;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of faults of a {@link FaultSchedule}. Lasting faults have a start and an end time; the
 * others occur at a single time and apply to brokers only.
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

  /** The target count of a kind that takes one or more targets. */
  static final int ANY_NUMBER = -1;

  private final String keyword;
  private final boolean lasting;
  private final int targetCount;

  FaultKind(String keyword, boolean lasting, int targetCount) {
    this.keyword = keyword;
    this.lasting = lasting;
    this.targetCount = targetCount;
  }

  /** Returns the kind with this keyword in schedules, or empty if the keyword is unknown. */
  static Optional<FaultKind> of(String keyword) {
    return Arrays.stream(values()).filter(kind -> kind.keyword.equals(keyword)).findFirst();
  }

  /** Returns the keyword of this kind in schedules. */
  String keyword() {
    return keyword;
  }

  /** Returns true if the fault has a start and an end time. */
  boolean isLasting() {
    return lasting;
  }

  /** Returns true if the last argument of the fault is a delay. */
  boolean hasDelay() {
    return this == LATE || this == SLOW;
  }

  /** Returns the number of targets, or {@link #ANY_NUMBER}. */
  int targetCount() {
    return targetCount;
  }
}

package dunlinhitch.experiments.testbed;

import java.util.List;

/**
 * One line of a {@link FaultSchedule}.
 *
 * @param fromMs start time in milliseconds after the start of the schedule
 * @param toMs end time of a lasting fault; 0 for other faults
 * @param targets names of brokers, stores or discovery
 * @param delayMs delay of traffic; 0 for kinds without a delay
 * @param share probability with which the fault applies to a chunk or datagram
 * @param text the line as written in the schedule
 */
record ScheduledFault(
    long fromMs,
    long toMs,
    FaultKind kind,
    List<String> targets,
    int delayMs,
    double share,
    String text) {}

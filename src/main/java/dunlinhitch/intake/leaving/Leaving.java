package dunlinhitch.intake.leaving;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How a front ends, as a state machine: what happens to the process and to each connection goes in, connections to close and
 * the one moment to stop come out. No I/O, clock or thread; the times are the broker's. It holds that no connection is closed
 * with a request on it that is not answered, that what crosses a close finds the listener still there, and that the front
 * stops at the end at the latest. {@code C} is what the front knows a connection by.
 */
public final class Leaving<C> {
    /** LEAVING: serving as ever until the closing begins. CLOSING: each connection ends, none stays open unused. */
    public enum Stage { SERVING, LEAVING, CLOSING, CLOSED }

    private enum Doing { IDLE, READING, BUSY }

    /** What the front is to do. */
    public interface Acts<C> {
        void close(C connection);

        /** Nothing is open and nothing is under way, or the time is over: the listener, which was open to here, may go. */
        void stop();
    }

    private final Acts<C> acts;
    private final Map<C, Doing> connections = new LinkedHashMap<>();
    private Stage stage = Stage.SERVING;
    private LeavingTimes times;
    /** True where a sibling takes what is new: each answer is its connection's last from the start. */
    private boolean byAnswer;
    private long quietUs;

    public Leaving(Acts<C> acts) {
        this.acts = acts;
    }

    public Stage stage() {
        return stage;
    }

    /** True where the next answer on a connection is the last, and says so. */
    public boolean isLast() {
        return byAnswer || stage == Stage.CLOSING || stage == Stage.CLOSED;
    }

    public void made(long now, C connection) {
        connections.put(connection, Doing.IDLE);
        if (stage == Stage.CLOSING) { // it may say something at once: closed with no answer it would be a refusal
            quietUs = Math.max(quietUs, now + times.crossingUs());
        }
    }

    /** The head of a request was read. */
    public void asked(C connection) {
        connections.replace(connection, Doing.READING);
    }

    /** A request was read whole. */
    public void taken(C connection) {
        connections.replace(connection, Doing.BUSY);
    }

    /** The last byte of the answer was written. */
    public void answered(long now, C connection) {
        if (connections.replace(connection, Doing.IDLE) != null && isLast()) {
            close(now, connection);
        }
        passed(now);
    }

    /** The client closed it, or the front did for a reason of its own. */
    public void gone(long now, C connection) {
        connections.remove(connection);
        passed(now);
    }

    /** The process is asked to end; what is asked twice changes nothing. */
    public void end(long now, LeavingTimes when, boolean sibling) {
        if (stage == Stage.SERVING) {
            stage = Stage.LEAVING;
            times = when;
            byAnswer = sibling;
            passed(now);
        }
    }

    /** When {@link #passed} is wanted, at the latest. */
    public long nextUs() {
        return switch (stage) {
            case SERVING, CLOSED -> Long.MAX_VALUE;
            case LEAVING -> times.closeUs();
            case CLOSING -> isUnderWay() ? times.endUs() : Math.min(quietUs, times.endUs());
        };
    }

    public void passed(long now) {
        if (stage == Stage.LEAVING && now >= times.closeUs()) {
            stage = Stage.CLOSING;
            quietUs = now + times.crossingUs();
            closeIdle(now);
        }
        if (stage == Stage.CLOSING && (now >= times.endUs() || now >= quietUs && !isUnderWay())) {
            stage = Stage.CLOSED;
            closeIdle(now);
            acts.stop();
        }
    }

    private boolean isUnderWay() {
        return connections.values().stream().anyMatch(doing -> doing != Doing.IDLE);
    }

    private void closeIdle(long now) {
        connections.entrySet().stream().filter(entry -> entry.getValue() == Doing.IDLE).map(Map.Entry::getKey).toList()
                .forEach(connection -> close(now, connection));
    }

    /** A request that crosses this comes again on a new connection: that is waited for. */
    private void close(long now, C connection) {
        if (stage == Stage.CLOSING) {
            quietUs = Math.max(quietUs, now + times.crossingUs());
        }
        connections.remove(connection);
        acts.close(connection);
    }
}

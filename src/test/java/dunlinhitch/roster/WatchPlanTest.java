package dunlinhitch.roster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.lab.standin.Stage;
import dunlinhitch.roster.WatchPlan.Step;
import dunlinhitch.decide.Routing.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** One clock for the list, on a made clock: nothing here waits. */
class WatchPlanTest {
    private static final long SECOND = 1_000_000;
    private static final Settings PUSHED = Stage.settings(40);
    private final List<Step> steps = new ArrayList<>();
    private long now = 1_000 * SECOND;

    private static Settings asked(int brokers) {
        Settings s = PUSHED;
        return new Settings(brokers, s.zones(), s.zone(), s.tickUs(), s.classes(), s.tenants(), s.overShareWorth(), s.layout(),
                s.limits(), s.rules(), s.prices(), true, s.reportsInAnswers(), s.reportsInProbes(), s.reportFields(),
                s.marksRepeats());
    }

    private WatchPlan plan(Settings settings) {
        return new WatchPlan(WatchTimes.of(settings), 41, 7);
    }

    private void took(List<Step> some) {
        steps.addAll(some);
    }

    /** Time passes and nothing is heard. */
    private void quiet(WatchPlan plan, long us) {
        long end = now + us;
        while (plan.nextUs() <= end) {
            now = plan.nextUs();
            took(plan.passed(now));
            assertTrue(plan.nextUs() > now, "it would spin");
        }
        now = end;
    }

    private <T extends Step> List<T> of(Class<T> kind) {
        return steps.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private Step.Ask last() {
        List<Step.Ask> asks = of(Step.Ask.class);
        return asks.get(asks.size() - 1);
    }

    /** The call that was made last is answered, and its first list is of that generation. */
    private long open(WatchPlan plan, long generation) {
        long call = last().call();
        took(plan.answered(now, call));
        took(plan.heard(now, call, false));
        took(plan.listed(now, call, generation));
        return call;
    }

    /** Empty lines of each 2 s keep a watch; without them it is given up well before 6 s and asked from the list it had. */
    @Test
    void silenceEndsAWatchAndNothingElseDoes() {
        WatchPlan plan = plan(PUSHED);
        took(plan.follow(now, "a", 1));
        assertEquals(41, last().since());
        long call = open(plan, 50);
        for (int i = 0; i < 20; i++) {
            quiet(plan, 2 * SECOND);
            took(plan.heard(now, call, false));
        }
        assertEquals(1, of(Step.Ask.class).size());
        assertEquals(List.of(), of(Step.Silent.class));
        long fell = now;
        quiet(plan, 3 * SECOND);
        assertEquals(new Step.Silent(fell), of(Step.Silent.class).get(0));
        assertEquals(50, last().since());
        assertTrue(steps.contains(new Step.Drop(call)));
        assertFalse(plan.hears(call));
        open(plan, 51);
        assertEquals(1, of(Step.Heard.class).size());
    }

    /**
     * The agent is down for 9 s and says nothing; a call from then may never be answered. What it has counts as told from
     * its first moment: a call is made within 130 ms of any moment, and no more than eight are out.
     */
    @Test
    void anAgentThatComesBackIsAskedAtOnce() {
        WatchPlan plan = plan(PUSHED);
        took(plan.follow(now, "a", 1));
        open(plan, 50);
        quiet(plan, 4 * SECOND);
        for (int i = 0; i < 38; i++) {
            int calls = of(Step.Ask.class).size();
            quiet(plan, 130_000);
            assertTrue(of(Step.Ask.class).size() > calls);
            assertTrue(of(Step.Ask.class).size() - of(Step.Drop.class).size() <= 8);
        }
        long back = last().call();
        open(plan, 60);
        assertEquals(of(Step.Ask.class).size() - 1, of(Step.Drop.class).size(), "only the answered one is left");
        assertTrue(plan.hears(back));
    }

    /** A list that begins and stalls is no list, though its bytes dribble in or empty lines follow it. */
    @Test
    void anObjectThatDoesNotEndBreaksTheWatch() {
        WatchPlan plan = plan(PUSHED);
        took(plan.follow(now, "a", 1));
        long call = open(plan, 50);
        long began = now;
        for (int i = 0; i < 30 && plan.hears(call); i++) {
            took(plan.heard(now, call, true));
            quiet(plan, 200_000);
        }
        assertFalse(plan.hears(call));
        assertTrue(now <= began + 3 * SECOND);
        assertEquals(50, last().since());
    }

    /** Moved during a silence: only the new one is asked, for all it has, then for what comes after; nothing of the old one is read. */
    @Test
    void aMoveDuringSilenceAsksTheNewAddressAlone() {
        WatchPlan plan = plan(PUSHED);
        took(plan.follow(now, "a", 1));
        open(plan, 50);
        quiet(plan, 4 * SECOND);
        long old = last().call();
        took(plan.follow(now, "b", 2));
        assertFalse(plan.hears(old));
        assertEquals(WatchPlan.NONE_YET, last().since());
        long whole = open(plan, 3);
        assertFalse(plan.hears(whole));
        assertEquals(3, last().since());
        assertEquals("b", last().host());
    }

    /** Moved while the old one speaks: it is heard until the new one has spoken, and not a moment longer. */
    @Test
    void theOldAddressIsHeardUntilTheNewOneSpeaks() {
        WatchPlan plan = plan(PUSHED);
        took(plan.follow(now, "a", 1));
        long old = open(plan, 50);
        took(plan.follow(now, "b", 2));
        took(plan.listed(now, old, 51));
        assertTrue(plan.hears(old));
        open(plan, 3);
        assertFalse(plan.hears(old));
        int asks = of(Step.Ask.class).size();
        took(plan.lost(now, old));
        assertEquals(asks, of(Step.Ask.class).size());
    }

    /** A discovery that all share is lost to all in one moment: they do not come back in one, and bear its few calls a second. */
    @Test
    void aSharedDiscoveryIsAskedSeldomAndNotInStep() {
        List<Long> firsts = new ArrayList<>();
        long calls = 0;
        for (int broker = 0; broker < 4; broker++) {
            WatchPlan plan = new WatchPlan(WatchTimes.of(asked(4)), 41, broker);
            steps.clear();
            now = 1_000 * SECOND;
            took(plan.follow(now, "a", 1));
            open(plan, 50);
            took(plan.lost(now, last().call())); // it went down: watches end
            firsts.add(plan.nextUs() / 10_000);
            for (long end = now + 30 * SECOND; now < end; now = plan.nextUs()) { // each call ends with 503 at once
                took(plan.passed(now));
                took(plan.lost(now, last().call()));
            }
            calls += of(Step.Ask.class).size();
        }
        assertTrue(firsts.stream().distinct().count() >= 3, "in step: " + firsts);
        assertTrue(calls <= 1.5 * 30, "calls in 30 s: " + calls);
        assertTrue(IntStream.of(1, 4, 100).mapToObj(n -> WatchTimes.of(asked(n))).allMatch(
                times -> times.pauses().longestUs() <= PUSHED.rules().askWithinUs() / 2));
    }

    @Test
    void whoAsksForTheListAgainGetsOneCallNotTwo() {
        WatchPlan plan = plan(asked(4));
        took(plan.follow(now, "a", 1));
        took(plan.resync(now));
        assertEquals(1, of(Step.Ask.class).size());
        open(plan, 50);
        took(plan.resync(now));
        assertEquals(2, of(Step.Ask.class).size());
        took(plan.stop());
        assertEquals(WatchPlan.NEVER, plan.nextUs());
    }
}

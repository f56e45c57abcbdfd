package dunlinhitch.fleet;

import dunlinhitch.audit.Versions;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Which brokers there are, in the manner of SWIM (Das, Gupta and Motivala, 2002): each looks at one other at a time, in a row that is
 * shuffled anew after each round; who does not answer is looked at by a few others, then suspected, then dead. Word of it rides on
 * what is said anyway, each item a number of times that grows with the logarithm of the fleet. Who hears that it is suspected
 * gainsays that under a later incarnation.
 *
 * <p>Pure: events in, what is to be sent out. No clock, socket or thread; chance is drawn from the seed. Bound: between brokers that hear each
 * other a dead one is out of the view of the one that looks within two rounds of looks (2 N periods for N brokers), an answer's wait
 * and the suspicion; the others have it a logarithm of N periods later.
 */
public final class View {
    /** Items that ride on one word; a datagram has room for some 30. */
    private static final int MOST_RIDING = 12;
    /** A row of looks without one answer: then nobody is heard. */
    private static final int UNHEARD_LOOKS = 3;
    private static final int TOLD_TIMES = 3;

    /** Where the words of this broker go; carried out in the order in which they were called. */
    public interface Out {
        void send(String host, int port, Word word);
    }

    /** An address to begin with. */
    public record Seed(String host, int port) {
    }

    /** One look that is under way: at whom, and until when an answer counts. */
    private record Look(String name, long directUntilUs, long untilUs, boolean[] helped) {
    }

    /** A look for another broker. */
    private record Errand(Peer client, long number, long untilUs) {
    }

    private final ViewSettings settings;
    private final List<Seed> seeds;
    private final SplittableRandom random;
    private final Out out;
    private final Supplier<List<Signal>> riding;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<String, Long> sinceUs = new HashMap<>();
    private final Map<String, Integer> told = new LinkedHashMap<>();
    private final Map<Long, Look> looks = new LinkedHashMap<>();
    private final Map<Long, Errand> errands = new LinkedHashMap<>();
    private final List<String> row = new ArrayList<>();
    private Peer self;
    private long nextLookUs;
    private long nextNumber;
    private int unheard;
    private int largest = 1;
    private long version;
    private long refused;
    private Versions versions;

    /**
     * {@code self} is alive under an incarnation later than any before: the time of its start will do. {@code riding}: what else goes with
     * the next word; it bounds that itself.
     */
    public View(Peer self, List<Seed> seeds, ViewSettings settings, long seed, long nowUs, Out out, Supplier<List<Signal>> riding) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.settings = settings;
        this.out = out;
        this.riding = riding;
        random = new SplittableRandom(seed);
        nextLookUs = nowUs;
    }

    public Peer self() {
        return self;
    }

    /** The names of all that take part, this broker among them, in one order at all brokers. */
    public Set<String> members() {
        Set<String> names = new TreeSet<>();
        names.add(self.name());
        peers.values().stream().filter(Peer::takesPart).forEach(peer -> names.add(peer.name()));
        return names;
    }

    /** All that is held of others. */
    public Collection<Peer> peers() {
        return List.copyOf(peers.values());
    }

    /** Raised by each change of who takes part. */
    public long version() {
        return version;
    }

    /** The most that took part at once, this broker among them, as far as it knows. */
    public int largest() {
        return largest;
    }

    /** True where looks are made and none was answered of late: this broker is cut off, or the last one there is. */
    public boolean alone() {
        return unheard >= UNHEARD_LOOKS;
    }

    /** Brokers that were passed over for there were too many. */
    public long refused() {
        return refused;
    }

    /** What this broker acts on; each word says it. */
    public void acts(Versions on) {
        versions = on;
    }

    /** When {@link #passed} is to be called next, in microseconds of the clock that it is given. */
    public long nextUs() {
        long next = nextLookUs;
        for (Look look : looks.values()) {
            next = Math.min(next, look.helped()[0] ? look.untilUs() : look.directUntilUs());
        }
        for (Map.Entry<String, Long> since : sinceUs.entrySet()) {
            Peer peer = peers.get(since.getKey());
            next = Math.min(next, since.getValue() + (peer.status() == Peer.Status.SUSPECT ? settings.suspectUs()
                    : settings.forgetUs()));
        }
        return next;
    }

    /** Time has passed. */
    public void passed(long nowUs) {
        errands.values().removeIf(errand -> nowUs > errand.untilUs());
        for (Map.Entry<Long, Look> entry : List.copyOf(looks.entrySet())) {
            Look look = entry.getValue();
            if (nowUs >= look.untilUs()) {
                looks.remove(entry.getKey());
                unheard++;
                Peer peer = peers.get(look.name());
                if (peer != null && peer.status() == Peer.Status.ALIVE) {
                    hold(peer.as(Peer.Status.SUSPECT), nowUs);
                }
            } else if (nowUs >= look.directUntilUs() && !look.helped()[0]) {
                look.helped()[0] = true;
                askOthers(entry.getKey(), look);
            }
        }
        for (String name : List.copyOf(sinceUs.keySet())) {
            Peer peer = peers.get(name);
            if (peer.status() == Peer.Status.SUSPECT && nowUs - sinceUs.get(name) >= settings.suspectUs()) {
                hold(peer.as(Peer.Status.DEAD), nowUs);
            } else if (!peer.takesPart() && nowUs - sinceUs.get(name) >= settings.forgetUs()) {
                peers.remove(name);
                sinceUs.remove(name);
                told.remove(name);
            }
        }
        if (nowUs >= nextLookUs) {
            nextLookUs = nowUs + settings.everyUs();
            look(nowUs);
        }
    }

    private void look(long nowUs) {
        Peer next = nextInRow();
        if (next == null || alone()) { // nobody is known, or nobody answers: those that were named at the start may be there
            for (Seed seed : seeds) {
                if (!seed.host().equals(self.host()) || seed.port() != self.port()) {
                    say(seed.host(), seed.port(), Word.Kind.JOIN, ++nextNumber, "");
                }
            }
        }
        if (next != null) {
            looks.put(++nextNumber, new Look(next.name(), nowUs + settings.answerUs(), nowUs + 2 * settings.answerUs(),
                    new boolean[1]));
            say(next.host(), next.port(), Word.Kind.LOOK, nextNumber, "");
        }
    }

    /** Each that takes part once, in a shuffled row; then anew. The dead are looked at too, one a round: a cut may have healed. */
    private Peer nextInRow() {
        while (true) {
            if (row.isEmpty()) {
                List<String> dead = new ArrayList<>();
                for (Peer peer : peers.values()) {
                    if (peer.takesPart()) {
                        row.add(random.nextInt(row.size() + 1), peer.name());
                    } else if (peer.status() == Peer.Status.DEAD) {
                        dead.add(peer.name());
                    }
                }
                if (!dead.isEmpty()) {
                    row.add(random.nextInt(row.size() + 1), dead.get(random.nextInt(dead.size())));
                }
                if (row.isEmpty()) {
                    return null;
                }
            }
            Peer peer = peers.get(row.remove(row.size() - 1));
            if (peer != null && peer.status() != Peer.Status.LEFT) {
                return peer;
            }
        }
    }

    private void askOthers(long number, Look look) {
        List<Peer> others = new ArrayList<>();
        peers.values().stream().filter(peer -> peer.status() == Peer.Status.ALIVE && !peer.name().equals(look.name()))
                .forEach(others::add);
        for (int i = 0; i < settings.helpers() && !others.isEmpty(); i++) {
            Peer helper = others.remove(random.nextInt(others.size()));
            say(helper.host(), helper.port(), Word.Kind.ASK, number, look.name());
        }
    }

    /** One word came in. What it says of its sender and of others is merged; what can not be is passed over. */
    public void heard(long nowUs, Word word) {
        if (word.from().name().equals(self.name())) {
            return; // its own word, or another that bears its name: incarnations settle that
        }
        unheard = 0;
        merge(word.from(), nowUs);
        word.peers().forEach(peer -> merge(peer, nowUs));
        Peer from = word.from();
        switch (word.kind()) {
            case LOOK -> say(from.host(), from.port(), Word.Kind.THERE, word.number(), "");
            case JOIN -> {
                told.clear(); // a newcomer, or one that was cut off, is told all that there is
                peers.keySet().forEach(name -> told.put(name, 0));
                say(from.host(), from.port(), Word.Kind.THERE, word.number(), "");
            }
            case ASK -> {
                Peer asked = peers.get(word.about());
                if (asked != null && errands.size() < settings.mostPeers()) {
                    errands.put(++nextNumber, new Errand(from, word.number(), nowUs + settings.answerUs()));
                    say(asked.host(), asked.port(), Word.Kind.LOOK, nextNumber, "");
                }
            }
            case THERE -> {
                Errand errand = errands.remove(word.number());
                if (errand != null) {
                    say(errand.client().host(), errand.client().port(), Word.Kind.THERE, errand.number(), from.name());
                }
                Look look = looks.get(word.number());
                if (look != null && (look.name().equals(from.name()) || look.name().equals(word.about()))) {
                    looks.remove(word.number());
                }
            }
            case LEAVE, NEWS -> {
                // what they say was merged
            }
        }
    }

    /** Has that broker told at once what rides on words, if it takes part. */
    public void tell(String name) {
        Peer peer = peers.get(name);
        if (peer != null && peer.takesPart()) {
            say(peer.host(), peer.port(), Word.Kind.NEWS, 0, "");
        }
    }

    /** This broker ends: all that are known are told, so that none has to find it out. */
    public void leave() {
        self = self.as(Peer.Status.LEFT);
        peers.values().stream().filter(Peer::takesPart)
                .forEach(peer -> say(peer.host(), peer.port(), Word.Kind.LEAVE, 0, ""));
    }

    private void merge(Peer said, long nowUs) {
        if (said.name().equals(self.name())) {
            if (self.status() == Peer.Status.ALIVE && said.incarnation() >= self.incarnation()
                    && said.incarnation() < Peer.MOST_INCARNATION && said.status() != Peer.Status.ALIVE) {
                self = self.in(said.incarnation() + 1); // it is not: it says this itself
            }
            return;
        }
        Peer held = peers.get(said.name());
        if (held == null && peers.size() >= settings.mostPeers()) {
            refused++;
        } else if (held == null || said.replaces(held)) {
            hold(said, nowUs);
        }
    }

    private void hold(Peer peer, long nowUs) {
        Peer before = peers.put(peer.name(), peer);
        if (peer.status() == Peer.Status.ALIVE) {
            sinceUs.remove(peer.name());
        } else if (before == null || before.status() != peer.status() || before.incarnation() != peer.incarnation()) {
            sinceUs.put(peer.name(), nowUs);
        }
        told.put(peer.name(), 0);
        if ((before != null && before.takesPart()) != peer.takesPart()) {
            version++;
            largest = Math.max(largest, members().size());
        }
    }

    private void say(String host, int port, Word.Kind kind, long number, String about) {
        List<Peer> news = news();
        for (Peer peer : peers.values()) { // who is held for less than alive is told so, or it could not gainsay it
            if (peer.status() != Peer.Status.ALIVE && peer.port() == port && peer.host().equals(host) && !news.contains(peer)) {
                news.add(peer);
            }
        }
        out.send(host, port, new Word(kind, self, number, about, versions, news, riding.get()));
    }

    /** What was told least often first; what was told often enough, by the size of the fleet, is news no more. */
    private List<Peer> news() {
        int times = TOLD_TIMES * (1 + (32 - Integer.numberOfLeadingZeros(peers.size())));
        Set<String> chosen = new LinkedHashSet<>();
        told.entrySet().stream().sorted(Map.Entry.comparingByValue()).limit(MOST_RIDING).forEach(e -> chosen.add(e.getKey()));
        List<Peer> news = new ArrayList<>();
        for (String name : chosen) {
            news.add(peers.get(name));
            if (told.merge(name, 1, Integer::sum) >= times) {
                told.remove(name);
            }
        }
        return news;
    }
}

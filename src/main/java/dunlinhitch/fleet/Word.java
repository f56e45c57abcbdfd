package dunlinhitch.fleet;

import dunlinhitch.audit.Versions;
import java.util.List;

/**
 * What one broker says to another, in one datagram.
 *
 * @param kind what it wants
 * @param from who says it
 * @param number the look it belongs to; an answer repeats it
 * @param about whom to ask, for {@link Kind#ASK}; for the answer to it whom the answer is of; else empty
 * @param versions what who says it acts on, or null
 * @param peers what is held of brokers
 * @param signals what was seen of stores
 */
public record Word(Kind kind, Peer from, long number, String about, Versions versions, List<Peer> peers, List<Signal> signals) {
    /** LOOK: are you there. THERE: I am. ASK: look at that one for me. JOIN: the same as LOOK, and tell me of all. LEAVE: I
     * end. NEWS: only what rides on it. */
    public enum Kind { LOOK, THERE, ASK, JOIN, LEAVE, NEWS }

    public Word {
        peers = List.copyOf(peers);
        signals = List.copyOf(signals);
    }
}

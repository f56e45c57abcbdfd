package dunlinhitch.roster;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts what discovery writes into JSON objects, however they are broken into lines and chunks: a list may come indented. An
 * object ends with the brace that closes it. Text between objects is skipped; where it is no blank it is counted.
 */
final class ListText {
    /** The text can not be an object, or is longer than any list: what follows can not be told apart either. */
    static final class SpoiltException extends Exception {
        private static final long serialVersionUID = 1L;

        SpoiltException(String message) {
            super(message);
        }
    }

    private final int most;
    /** What has come of an object that is not whole. */
    private byte[] begun = new byte[0];
    private int length;
    /** Up to here it has been looked at. */
    private int seen;
    private int depth;
    private boolean quoted;
    private boolean escaped;
    private boolean strayLine;
    private int strays;

    /** No object may be longer than {@code most} bytes. */
    ListText(int most) {
        this.most = most;
    }

    /** True while an object has begun and is not whole. */
    boolean isWithin() {
        return depth > 0;
    }

    /** Lines that were no part of an object, since it was last asked. */
    int strays() {
        int so = strays;
        strays = 0;
        return so;
    }

    /** Takes what came next; the result is the objects that are whole by it. */
    List<String> read(byte[] bytes) throws SpoiltException {
        begun = begun.length < length + bytes.length ? Arrays.copyOf(begun, Math.max(2 * begun.length, length + bytes.length))
                : begun;
        System.arraycopy(bytes, 0, begun, length, bytes.length);
        length += bytes.length;
        List<String> whole = new ArrayList<>();
        int from = 0;
        for (; seen < length; seen++) {
            byte b = begun[seen];
            if (depth == 0) {
                from = b == '{' && !strayLine ? seen : seen + 1;
            }
            if (take(b)) {
                whole.add(new String(begun, from, seen + 1 - from, StandardCharsets.UTF_8));
                from = seen + 1;
            }
        }
        length -= from;
        seen = length;
        System.arraycopy(begun, from, begun, 0, length);
        if (length > most) {
            throw new SpoiltException("an object of more than " + most + " bytes");
        }
        return whole;
    }

    /** True where an object is whole by this byte. */
    private boolean take(byte b) throws SpoiltException {
        if (quoted) {
            if (b >= 0 && b < ' ') { // JSON has none in a string: the end of an object was lost
                throw new SpoiltException("a string is not closed");
            }
            quoted = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (depth == 0) {
            outside(b);
        } else if (b == '"') {
            quoted = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
            return depth == 0;
        }
        return false;
    }

    private void outside(byte b) {
        if (b == '\n') {
            strayLine = false;
        } else if (!strayLine && b == '{') {
            depth = 1;
        } else if (!strayLine && b != ' ' && b != '\t' && b != '\r') {
            strayLine = true;
            strays++;
        }
    }
}

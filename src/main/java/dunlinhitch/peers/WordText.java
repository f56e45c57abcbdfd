package dunlinhitch.peers;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.audit.Versions;
import dunlinhitch.fleet.Doubt;
import dunlinhitch.fleet.Peer;
import dunlinhitch.fleet.Signal;
import dunlinhitch.fleet.Word;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A word between brokers as JSON text, one in a datagram: {@code v} 1, {@code kind}, {@code from} (a peer), {@code number}, {@code about}, {@code versions}, {@code peers},
 * {@code signals}, {@code digest}, {@code buckets}, {@code doubts}. Unknown keys are passed over, so that a later version can say more; another {@code v} can not be read.
 */
final class WordText {
    static final int VERSION = 1;
    private static final int MOST_ITEMS = 256;

    private WordText() {
    }

    static String write(Word word) {
        JsonArray peers = new JsonArray();
        word.peers().forEach(peer -> peers.add(peer(peer)));
        JsonArray signals = new JsonArray();
        word.signals().forEach(signal -> signals.add(signal(signal)));
        JsonArray buckets = new JsonArray();
        word.buckets().forEach(buckets::add);
        JsonArray doubts = new JsonArray();
        word.doubts().forEach(d -> doubts.add(Json.object().add("name", d.name()).add("incarnation", d.incarnation()).add("by", d.by())));
        JsonObject root = Json.object().add("v", VERSION).add("kind", lower(word.kind())).add("from", peer(word.from()))
                .add("number", word.number()).add("about", word.about()).add("peers", peers).add("signals", signals)
                .add("digest", word.digest()).add("buckets", buckets).add("doubts", doubts);
        return (word.versions() == null ? root : root.add("versions", versions(word.versions()))).toString();
    }

    /** Throws a RuntimeException on what is no word of this version. */
    static Word read(String text) {
        JsonObject root = Json.parse(text).asObject();
        if (root.getInt("v", 0) != VERSION) {
            throw new IllegalArgumentException("version " + root.get("v") + " of the words between brokers, and " + VERSION
                    + " is spoken here");
        }
        List<Peer> peers = new ArrayList<>();
        for (JsonValue peer : items(root, "peers")) {
            peers.add(peer(peer.asObject()));
        }
        List<Signal> signals = new ArrayList<>();
        for (JsonValue signal : items(root, "signals")) {
            signals.add(signal(signal.asObject()));
        }
        List<Long> buckets = new ArrayList<>();
        items(root, "buckets").forEach(bucket -> buckets.add(bucket.asLong()));
        List<Doubt> doubts = new ArrayList<>();
        for (JsonValue doubt : items(root, "doubts")) {
            JsonObject o = doubt.asObject();
            doubts.add(new Doubt(o.getString("name", ""), o.get("incarnation").asLong(), o.getString("by", "")));
        }
        return new Word(Word.Kind.valueOf(upper(root.getString("kind", ""))), peer(root.get("from").asObject()),
                root.get("number").asLong(), root.getString("about", ""),
                root.get("versions") == null ? null : versions(root.get("versions").asObject()), peers, signals,
                root.getLong("digest", 0), buckets, doubts);
    }

    private static JsonArray items(JsonObject root, String key) {
        JsonValue items = root.get(key);
        if (items == null) {
            return new JsonArray();
        }
        if (items.asArray().size() > MOST_ITEMS) {
            throw new IllegalArgumentException(key + " has over " + MOST_ITEMS + " items");
        }
        return items.asArray();
    }

    private static JsonObject peer(Peer p) {
        return Json.object().add("name", p.name()).add("zone", p.zone()).add("host", p.host()).add("port", p.port())
                .add("incarnation", p.incarnation()).add("status", lower(p.status()));
    }

    private static Peer peer(JsonObject o) {
        return new Peer(o.getString("name", ""), o.getString("zone", ""), o.getString("host", ""), o.getInt("port", 0),
                o.get("incarnation").asLong(), Peer.Status.valueOf(upper(o.getString("status", ""))));
    }

    private static JsonObject versions(Versions v) {
        return Json.object().add("build", v.build()).add("settings", v.settings()).add("settings_ms", v.settingsMs())
                .add("roster", v.roster());
    }

    private static Versions versions(JsonObject o) {
        return new Versions(o.getString("build", ""), o.getString("settings", ""), o.get("settings_ms").asLong(),
                o.get("roster").asLong());
    }

    private static JsonObject signal(Signal s) {
        JsonArray report = new JsonArray();
        s.report().forEach(value -> report.add(value.floatValue()));
        return Json.object().add("store", s.store()).add("started", s.startedMs()).add("author", s.author())
                .add("number", s.number()).add("seen", s.seenUs()).add("report", report).add("failed", s.failed());
    }

    private static Signal signal(JsonObject o) {
        List<Float> report = new ArrayList<>();
        for (JsonValue value : o.get("report").asArray()) {
            float figure = value.asFloat();
            if (!Float.isFinite(figure)) {
                throw new IllegalArgumentException("a load report holds " + value);
            }
            report.add(figure);
        }
        return new Signal(o.getString("store", ""), o.get("started").asLong(), o.getString("author", ""),
                o.get("number").asLong(), o.get("seen").asLong(), report, o.getInt("failed", 0));
    }

    private static String lower(Enum<?> word) {
        return word.name().toLowerCase(Locale.ROOT);
    }

    private static String upper(String word) {
        return word.toUpperCase(Locale.ROOT);
    }
}

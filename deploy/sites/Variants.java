import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes two further deployments, to see that nothing in the broker is fitted to one: {@code java deploy/sites/Variants.java SITE.toml}
 * reads an operators' site and the files beside it, and lays complete folders {@code tight} and {@code wide} beside this source, which git
 * ignores. What differs are our own values below; all else is as the operators' site has it.
 */
final class Variants {
    private static final List<String> BESIDE = List.of("real.json", "wire.json", "unlock.txt");

    /** Classes that may not all be repeated, little time, a short window for repeats. */
    private static final Map<String, String> TIGHT = Map.of(
            "name", "\"harbour-berths\"",
            "clients.retries", "[1, 2.99]",
            "clients.honour", "[0.2, 0.6]",
            "allow.max_attempts", "3",
            "rules.drain_grace_ms", "150",
            "rules.fall_multiple", "2",
            "tier.conn.connect_timeout_ms", "150",
            "tier.conn.cap_per_core", "[120, 200]",
            "tier.conn.idle_s", "4");
    private static final String TIGHT_CLASSES = """
            [[class]]
            name = "berth-lookup"
            share = [0.5, 0.6]
            work_ms = [30, 45]
            dist = "lognormal"
            cv = [0.2, 0.5]
            attempt_noise = [0.1, 0.4]
            aim_ms = 500
            deadline_ms = 1100
            worth = 1
            late_worth = 0.2
            effect = "safe"

            [[class]]
            name = "berth-hold"
            share = [0.25, 0.3]
            work_ms = [40, 55]
            dist = "lognormal"
            cv = [0.2, 0.4]
            attempt_noise = [0.2, 0.4]
            aim_ms = 700
            deadline_ms = 1600
            worth = 2
            late_worth = 0.3
            effect = "keyed"
            group = "all"
            window_ms = 600

            [[class]]
            name = "berth-sale"
            share = [0.15, 0.2]
            work_ms = [40, 60]
            dist = "lognormal"
            cv = [0.2, 0.4]
            attempt_noise = [0.2, 0.4]
            aim_ms = 900
            deadline_ms = 2000
            worth = 3
            late_worth = 0.3
            effect = "unsafe"

            """;
    private static final String TIGHT_PARTS = """
            [[fam.class]]
            parts = 5
            share = 0.3
            floor = 0.6
            partial = 0.8

            [[fam.class]]
            parts = 2

            [[fam.class]]
            parts = 1

            """;

    /** Other shares, tenants, much time, dear probes and connections, larger stores. */
    private static final Map<String, String> WIDE = Map.ofEntries(
            Map.entry("name", "\"quarry-ledger\""),
            Map.entry("goal.whole", "0.3"),
            Map.entry("goal.worst_window", "0.3"),
            Map.entry("goal.worst_tenant", "0.2"),
            Map.entry("prices.probe", "0.03"),
            Map.entry("prices.handshake", "0.02"),
            Map.entry("prices.connection", "0.02"),
            Map.entry("tier.conn.handshake_us", "[1500, 4000]"),
            Map.entry("rules.drain_grace_ms", "800"),
            Map.entry("tier.kind.cores", "4"),
            Map.entry("tier.kind.cold_from", "[0.1, 0.2]"));
    private static final String WIDE_CLASSES = """
            [[class]]
            name = "ledger-scan"
            share = [0.15, 0.2]
            work_ms = [120, 160]
            dist = "lognormal"
            cv = [0.2, 0.6]
            attempt_noise = [0.1, 0.4]
            aim_ms = 4000
            deadline_ms = 9000
            worth = 5
            late_worth = 0.2
            effect = "safe"

            [[class]]
            name = "ledger-entry"
            share = [0.75, 0.85]
            work_ms = [50, 70]
            dist = "lognormal"
            cv = [0.2, 0.4]
            attempt_noise = [0.2, 0.4]
            aim_ms = 2500
            deadline_ms = 6000
            worth = 1
            late_worth = 0.1
            effect = "keyed"
            group = "all"
            window_ms = 5000

            [[tenant]]
            name = "north-pit"
            share = 0.6
            usage = [0.6, 1.2]

            [[tenant]]
            name = "south-pit"
            share = 0.25
            usage = [0.5, 1.6]

            [[tenant]]
            name = "old-works"
            share = 0.15
            usage = [0.5, 1.1]

            """;
    private static final String WIDE_PARTS = """
            [[fam.class]]
            parts = 6
            share = 0.4
            floor = 0.5
            partial = 0.7

            [[fam.class]]
            parts = 1

            """;

    private Variants() {
    }

    public static void main(String[] arguments) throws IOException {
        if (arguments.length < 1 || arguments.length > 2) {
            System.err.println("usage: java deploy/sites/Variants.java SITE.toml [FOLDER]");
            System.exit(2);
        }
        Path site = Path.of(arguments[0]);
        Path to = Path.of(arguments.length == 2 ? arguments[1] : "deploy/sites");
        write(site, to.resolve("tight"), TIGHT, TIGHT_CLASSES, TIGHT_PARTS);
        write(site, to.resolve("wide"), WIDE, WIDE_CLASSES, WIDE_PARTS);
    }

    private static void write(Path site, Path folder, Map<String, String> values, String classes, String parts) throws IOException {
        Files.createDirectories(folder);
        Path out = folder.resolve("site.toml");
        Files.writeString(out, varied(Files.readAllLines(site), values, classes, parts));
        for (String name : BESIDE) {
            Files.copy(site.resolveSibling(name), folder.resolve(name), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        System.out.println(out);
    }

    /** Replaces values by their table and key, and the classes with their parts as a whole. A key that is nowhere is an error. */
    private static String varied(List<String> lines, Map<String, String> values, String classes, String parts) {
        Map<String, String> left = new LinkedHashMap<>(values);
        List<String> out = new ArrayList<>();
        String table = "";
        boolean classesOut = false;
        boolean partsOut = false;
        for (String line : lines) {
            if (line.startsWith("[")) {
                table = line.replaceAll("[\\[\\]]", "").trim();
                if (table.equals("class") && !classesOut) {
                    classesOut = true;
                    out.add(classes);
                } else if (table.equals("fam.class") && !partsOut) {
                    partsOut = true;
                    out.add(parts);
                }
            }
            if (table.equals("class") || table.equals("tenant") || table.equals("fam.class")) {
                continue;
            }
            String key = line.replaceAll("\\s*=.*", "");
            String place = table.isEmpty() ? key : table + "." + key;
            String value = line.contains("=") ? left.remove(place) : null;
            out.add(value == null ? line : key + " = " + value);
        }
        if (!left.isEmpty() || !classesOut || !partsOut) {
            throw new IllegalArgumentException("the site has no " + (left.isEmpty() ? "classes" : left.keySet()));
        }
        return String.join("\n", out) + "\n";
    }
}

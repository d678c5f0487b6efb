package thornferry.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.requests.RequestTracker;
import thornferry.placer.Account;
import thornferry.placer.Site;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;
import thornferry.security.Passcodes;
import thornferry.state.Durability;

/**
 * The configuration of a placer: site, listener and instances. {@code examples/site.toml} explains
 * every key.
 */
public record SiteFile(Site site, String host, int port, int instances) {
    private static final long HOUR_MS = 3_600_000;
    private static final Map<String, Placement.Idempotency> EFFECTS = effects();

    public static SiteFile read(Path path) throws ConfigException {
        return of(TomlFile.read(path));
    }

    public static SiteFile of(TomlFile file) throws ConfigException {
        Section root = file.root();
        Section placer = root.table("placer");
        String name = placer.text("name", "placer");
        String host = placer.text("host", "127.0.0.1");
        int port = placer.whole("port", 0, 65_535, 61_613);
        int instances = placer.whole("instances", 1, 10_000, 1);
        int placers = placer.whole("placers", 1, 1_000_000, instances);
        if (placers < instances) {
            placer.complain(
                    "placers", "counts all placers of the site, so it cannot be under instances");
        }
        Section connections = root.table("connections");
        int beat = connections.whole("heart-beat-ms", 0, 3_600_000, 2_000);
        Heartbeat heartbeat = new Heartbeat(beat, beat);
        int handshake = connections.whole("handshake-ms", 100, 600_000, 5_000);
        int most = connections.whole("most", 1, 1_000_000, 12_000);
        Section frames = root.table("frames");
        FrameLimits limits =
                new FrameLimits(
                        frames.whole("line-octets", 64, 1 << 20, 4_096),
                        frames.whole("headers", 8, 10_000, 64),
                        frames.whole("body-octets", 1_024, 1 << 26, 1 << 20),
                        frames.whole("unwritten-octets", 4_096, 1 << 28, 4 << 20));
        Placement.Settings module = module(root, placer, placers);
        Site site =
                new Site(
                        name,
                        module,
                        (long) placer.number("seed", 0, 9e15, 1),
                        accounts(root, module),
                        membership(root),
                        intake(root),
                        AdmissionSection.read(root, module),
                        TlsSection.read(root, file.directory()),
                        limits,
                        heartbeat,
                        handshake,
                        most,
                        state(root, file.directory()));
        file.check();
        return new SiteFile(site, host, port, instances);
    }

    private static Site.State state(Section root, Path directory) {
        Section s = root.table("state");
        Durability durability = s.choice("durability", Durability.class, Durability.NONE);
        return new Site.State(durability, directory.resolve(s.text("folder", "state")));
    }

    private static Membership.Limits membership(Section root) {
        Section s = root.table("membership");
        return new Membership.Limits(
                s.millis("gone-after-ms", 100, HOUR_MS, 10_000),
                s.whole("flaps", 1, 1_000, 4),
                s.millis("flap-window-ms", 100, HOUR_MS, 30_000),
                s.millis("held-out-ms", 100, HOUR_MS, 5_000),
                s.whole("nodes", 1, 1_000_000, 20_000));
    }

    private static RequestTracker.Limits intake(Section root) {
        Section s = root.table("intake");
        long least = s.millis("retry-least-ms", 1, HOUR_MS, 1_000);
        long most = s.millis("retry-most-ms", 1, HOUR_MS, 30_000);
        if (most < least) {
            s.complain("retry-most-ms", "must not be under retry-least-ms");
        }
        return new RequestTracker.Limits(
                s.whole("in-hand", 1, 10_000_000, 20_000),
                s.whole("kept", 1, 50_000_000, 200_000),
                s.millis("keep-ms", 1, 24 * HOUR_MS, 120_000),
                s.millis("most-patience-ms", 1, 24 * HOUR_MS, 600_000),
                s.millis("settle-ms", 0, HOUR_MS, 3_000),
                least,
                Math.max(least, most));
    }

    private static Placement.Settings module(Section root, Section placer, int placers) {
        List<Placement.MachineKind> kinds = kinds(root);
        List<Placement.TaskClass> classes = classes(root, kinds);
        List<Placement.Tenant> tenants = new ArrayList<>();
        for (Section s : root.tables("tenant")) {
            tenants.add(
                    new Placement.Tenant(
                            s.text("name", null),
                            s.number("share", 0, 1, 1),
                            s.number("cores", 0, 1e9, 0)));
        }
        Section asks = root.table("asks");
        Section p = root.table("prices");
        Placement.CostWeights prices =
                new Placement.CostWeights(
                        price(p, "fleet", 0),
                        price(p, "moves", 0.08),
                        price(p, "waste", 0.03),
                        price(p, "cross-zone", 0),
                        price(p, "probe", 0.004),
                        price(p, "list-lines", 0.004),
                        price(p, "refused-offer", 0.02),
                        price(p, "eviction-as-moves", 2));
        Section r = root.table("rules");
        Placement.Rules rules =
                new Placement.Rules(
                        r.millis("answer-grace-ms", 0, 60_000, 8),
                        r.millis("drain-grace-ms", 0, 60_000, 500),
                        0,
                        r.number("cold-from", 0, 1, 0.25),
                        r.millis("ramp-ms", 0, HOUR_MS, 15_000),
                        r.number("cold-multiple", 0, 1e6, 2),
                        r.millis("cold-window-ms", 0, HOUR_MS, 3_000),
                        r.number("cold-offers", 0, 1e9, 48));
        Section l = root.table("limits");
        Placement.Limits limits =
                new Placement.Limits(
                        l.flag("probes", true),
                        true,
                        true,
                        false,
                        l.whole("attempts", 1, 100, 4),
                        l.millis("most-retry-after-ms", 0, HOUR_MS, 30_000));
        if (classes.isEmpty() || kinds.isEmpty()) {
            root.complain(classes.isEmpty() ? "class" : "kind", "at least one is needed");
            classes = classes.isEmpty() ? List.of(nothing()) : classes;
            kinds = kinds.isEmpty() ? List.of(new Placement.MachineKind("none", 1, 1)) : kinds;
        }
        return new Placement.Settings(
                0,
                0,
                placers,
                placer.text("zone", "local"),
                classes,
                kinds,
                tenants,
                Placement.LoadReportMode.WITH_RESPONSES,
                false,
                true,
                false,
                false,
                true,
                false,
                false,
                asks.number("accept-cores", 0.1, 100, 1),
                asks.number("accept-memory", 0.1, 100, 1),
                asks.number("mean-cores", 1e-6, 1e6, 1),
                asks.number("mean-memory", 1e-6, 1e6, 2),
                asks.number("over-share-worth", 0, 1, 1),
                asks.millis("owner-wait-ms", 0, HOUR_MS, 3_000),
                prices,
                rules,
                limits);
    }

    private static double price(Section s, String key, double otherwise) {
        return s.number(key, 0, 1_000, otherwise);
    }

    private static Placement.TaskClass nothing() {
        return new Placement.TaskClass(
                "none",
                Placement.Idempotency.IDEMPOTENT,
                Placement.TopologyScope.ALL,
                0,
                1,
                1,
                1,
                0,
                0,
                1,
                1,
                0,
                -1,
                Placement.TopologyScope.NONE,
                0);
    }

    private static List<Placement.MachineKind> kinds(Section root) {
        List<Placement.MachineKind> kinds = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section s : root.tables("kind")) {
            Placement.MachineKind kind =
                    new Placement.MachineKind(
                            s.text("name", null),
                            s.number("cores", 1e-3, 1e6, Double.NaN),
                            s.number("memory", 1e-3, 1e9, Double.NaN));
            if (!names.add(kind.name())) {
                s.complain("name", "kind " + kind.name() + " stands already");
            }
            kinds.add(kind);
        }
        return kinds;
    }

    private static List<Placement.TaskClass> classes(
            Section root, List<Placement.MachineKind> kinds) {
        List<Placement.TaskClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section s : root.tables("class")) {
            String name = s.text("name", null);
            if (!names.add(name)) {
                s.complain("name", "class " + name + " stands already");
            }
            Placement.Idempotency effect = s.choice("effect", EFFECTS, null);
            Placement.TopologyScope scope =
                    s.choice(
                            "key-scope",
                            Placement.TopologyScope.class,
                            Placement.TopologyScope.ALL);
            long window =
                    s.millis(
                            "key-window-ms",
                            0,
                            HOUR_MS,
                            effect == Placement.Idempotency.IDEMPOTENT_WITH_KEY ? Double.NaN : 0);
            long aim = s.millis("aim-ms", 1, HOUR_MS, 1_000);
            long deadline = s.millis("deadline-ms", 1, 24 * HOUR_MS, Double.NaN);
            if (deadline < aim) {
                s.complain("deadline-ms", "must not be under aim-ms");
            }
            String kind = s.text("kind", "any");
            int needs = kinds.stream().map(Placement.MachineKind::name).toList().indexOf(kind);
            if (needs < 0 && !kind.equals("any")) {
                s.complain("kind", "no kind " + kind + " stands in this file");
            }
            Placement.TopologyScope spread =
                    s.choice("spread", Placement.TopologyScope.class, Placement.TopologyScope.NONE);
            int most = s.whole("spread-most", 0, 1_000_000, 0);
            if (spread != Placement.TopologyScope.NONE && most == 0) {
                s.complain("spread-most", "must be above 0 where spread is set");
            }
            classes.add(
                    new Placement.TaskClass(
                            name,
                            effect,
                            scope,
                            window,
                            aim,
                            Math.max(1, deadline),
                            s.number("worth", 0, 1e6, 1),
                            s.number("late-worth", 0, 1, 0.1),
                            s.number("start-seconds", 0, 1e4, 12),
                            s.number("calm", 0.01, 1, 0.8),
                            s.number("fade", 0, 1, 0.2),
                            s.whole("priority", 0, 1_000, 0),
                            needs,
                            spread,
                            most));
        }
        return classes;
    }

    /**
     * A hash, or a plain passcode for trials; neither where the account is to come with a
     * certificate.
     */
    private static String secret(Section s) {
        String hash = s.text("passcode-hash", "");
        String plain = s.text("passcode", "");
        if (!hash.isEmpty() && !Passcodes.isHash(hash)) {
            s.complain("passcode-hash", "must be what `thornferry keys passcode` prints");
        }
        if (!hash.isEmpty() && !plain.isEmpty()) {
            s.complain("passcode", "stands beside passcode-hash; only one may");
        }
        return !hash.isEmpty() ? hash : plain.isEmpty() ? null : plain;
    }

    private static List<Account> accounts(Section root, Placement.Settings module) {
        List<Account> accounts = new ArrayList<>();
        Set<String> logins = new HashSet<>();
        Set<String> tenants =
                new HashSet<>(module.tenants().stream().map(Placement.Tenant::name).toList());
        for (Section s : root.tables("account")) {
            Account a =
                    new Account(
                            s.text("login", null),
                            secret(s),
                            s.choice("role", Account.Role.class, null),
                            s.text("tenant", ""));
            if (!logins.add(a.login())) {
                s.complain("login", "account " + a.login() + " stands already");
            }
            if (!a.tenant().isEmpty() && !tenants.contains(a.tenant())) {
                s.complain("tenant", "no tenant " + a.tenant() + " stands in this file");
            }
            accounts.add(a);
        }
        if (accounts.isEmpty()) {
            root.complain("account", "at least one is needed, or nobody can connect");
        }
        return accounts;
    }

    private static Map<String, Placement.Idempotency> effects() {
        Map<String, Placement.Idempotency> effects = new LinkedHashMap<>();
        effects.put("safe", Placement.Idempotency.IDEMPOTENT);
        effects.put("keyed", Placement.Idempotency.IDEMPOTENT_WITH_KEY);
        effects.put("unsafe", Placement.Idempotency.NON_IDEMPOTENT);
        return effects;
    }
}

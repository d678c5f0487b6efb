package thornferry.testbed.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import thornferry.agent.NodeBehavior;
import thornferry.config.ConfigException;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Site;
import thornferry.state.Durability;

/**
 * A scripted day: a site's configuration with a fleet, traffic and faults at times beside it, in
 * one TOML file. {@code examples/days} holds some.
 *
 * @param seconds of traffic; the day then goes on for {@code quiet} seconds, so that what is in
 *     hand is answered
 * @param tls whether everything passes over TLS, with passcodes kept as hashes
 * @param script where it was read from; the placers' processes read it again
 * @param placers each a process of its own, with a relay of its own
 * @param nodeProcesses that the nodes are spread over, those of one zone in the same; 0 for none
 *     but this one
 */
public record ScenarioFile(
        Path script,
        SiteFile site,
        int seconds,
        int quiet,
        long seed,
        int placers,
        int nodeProcesses,
        int clients,
        double vanishEvery,
        boolean tls,
        List<Fleet> fleets,
        List<Traffic> traffic,
        List<Fault> faults) {
    /** The same day with other chances. */
    public ScenarioFile withSeed(long other) {
        return new ScenarioFile(
                script,
                site,
                seconds,
                quiet,
                other,
                placers,
                nodeProcesses,
                clients,
                vanishEvery,
                tls,
                fleets,
                traffic,
                faults);
    }

    /** The same day with placers that keep their promises so durably. */
    public ScenarioFile withDurability(Durability durability) {
        Site kept = site.site().withState(new Site.State(durability, Path.of("state")));
        return new ScenarioFile(
                script,
                new SiteFile(kept, site.host(), site.port(), site.instances()),
                seconds,
                quiet,
                seed,
                placers,
                nodeProcesses,
                clients,
                vanishEvery,
                tls,
                fleets,
                traffic,
                faults);
    }

    /** So many nodes of a kind, in the zones in turn. */
    public record Fleet(
            String name,
            int count,
            Placement.MachineKind kind,
            List<String> zones,
            NodeBehavior behaviour) {}

    /**
     * Tasks of a class, a Poisson stream; sizes, run times and services are drawn. Milliseconds.
     */
    public record Traffic(
            String taskClass,
            double perSecond,
            int services,
            double coresLeast,
            double coresMost,
            double memoryLeast,
            double memoryMost,
            long runsLeast,
            long runsMost,
            Long patience,
            int asks) {}

    /**
     * What goes wrong, when, for how long (from {@code millis} to {@code most}, drawn anew each
     * time) and for which part.
     */
    public record Fault(
            double at,
            Kind kind,
            double part,
            long millis,
            long most,
            long every,
            String zone,
            String taskClass,
            double factor,
            int times) {}

    /** The faults that a script may hold. */
    public enum Kind {
        /** Nodes die together and come back cold after the time; of one zone, where it is named. */
        CRASH,
        /** Nodes stand still for the time. */
        PAUSE,
        /** The placers stand still for the time. */
        PLACER_PAUSE,
        /** Nodes leave one class unanswered for the time, while they serve the others. */
        MUTE,
        /**
         * For the time, this part (factor) of the acceptances of the nodes is lost while the work
         * runs.
         */
        ANSWERS_LOST,
        /** Nodes push out tasks, each as many as {@code factor}. */
        PREEMPT,
        /** More traffic, times {@code factor}, for the time. */
        SURGE,
        /** Owners stop a part of their placed tasks and ask for them all again under new names. */
        RESTART_SERVICES,
        /** Clients vanish in the middle of what they do and come back after the time. */
        VANISH,
        /** A placer's process is killed (SIGKILL) and started again after the time. */
        PLACER_KILL,
        /**
         * A process with nodes is killed; its nodes come back cold after the time. Needs
         * node-processes.
         */
        NODE_KILL,
        /** A placer's and a nodes' process are killed in the same moment. */
        BOTH_KILL,
        /** Connections are cut in the middle of a frame. */
        CUT,
        /** Connections stay open but pass nothing any more. */
        HALF_OPEN,
        /** Peers read nothing for the time. */
        SLOW_READER,
        /** An operator drains nodes for the time. */
        DRAIN;

        /** Whether it needs the nodes in the day's own process. */
        boolean strikesNodes() {
            return switch (this) {
                case CRASH, PAUSE, MUTE, ANSWERS_LOST, PREEMPT, DRAIN -> true;
                default -> false;
            };
        }
    }

    public static ScenarioFile read(Path path) throws ConfigException {
        return of(path, TomlFile.read(path));
    }

    /**
     * @param script null where it stands in no file: it can then be checked, not played
     */
    static ScenarioFile of(Path script, TomlFile file) throws ConfigException {
        Section root = file.root();
        Section day = root.table("day");
        int seconds = day.whole("seconds", 1, 86_400, 30);
        int quiet = day.whole("quiet-seconds", 1, 600, 15);
        long seed = (long) day.number("seed", 0, 9e15, 1);
        int placers = day.whole("placers", 1, 100, 1);
        int nodeProcesses = day.whole("node-processes", 0, 100, 0);
        int clients = day.whole("clients", 1, 10_000, 5);
        double vanish = day.number("vanish-every-seconds", 0, 86_400, 0);
        boolean tls = day.flag("tls", false);
        List<Section> fleets = root.tables("fleet");
        List<Section> traffic = root.tables("traffic");
        List<Section> faults = root.tables("trouble");
        List<Fleet> fleet = new ArrayList<>();
        List<Traffic> streams = new ArrayList<>();
        List<Fault> wrong = new ArrayList<>();
        // read before the site, whose reading raises every complaint of the file at once
        List<String[]> kindOf = new ArrayList<>();
        for (Section s : fleets) {
            kindOf.add(
                    new String[] {
                        s.text("kind", null), s.text("name", "node"), s.text("zones", "hall-a")
                    });
            fleet.add(
                    new Fleet("", s.whole("count", 1, 100_000, 1), null, List.of(), behaviour(s)));
        }
        if (fleets.isEmpty()) {
            root.complain("fleet", "a fleet of none: at least one [[fleet]] is needed");
        }
        for (Section s : traffic) {
            double cores = s.number("cores-least", 1e-3, 1e6, 0.5);
            double memory = s.number("memory-least", 1e-3, 1e6, 1);
            long runs = (long) s.number("runs-least-ms", 1, 1e9, 1_000);
            streams.add(
                    new Traffic(
                            s.text("class", null),
                            s.number("per-second", 0.001, 1e6, 1),
                            s.whole("services", 1, 10_000, 4),
                            cores,
                            s.number("cores-most", cores, 1e6, cores),
                            memory,
                            s.number("memory-most", memory, 1e6, memory),
                            runs,
                            (long) s.number("runs-most-ms", runs, 1e9, runs),
                            s.has("patience-ms")
                                    ? (Long) (long) s.number("patience-ms", 0, 1e9, 0)
                                    : null,
                            s.whole("asks", 1, 100, 4)));
        }
        for (Section s : faults) {
            Kind kind = s.choice("kind", Kind.class, null);
            double at = s.number("at-seconds", 0, 86_400, Double.NaN);
            if (at > seconds) {
                s.complain("at-seconds", "comes after the day's " + seconds + " seconds");
            }
            String taskClass = s.text("class", "");
            if (kind == Kind.MUTE && taskClass.isEmpty()) {
                s.complain("class", "is missing: which class is left unanswered");
            }
            boolean processes = kind == Kind.NODE_KILL || kind == Kind.BOTH_KILL;
            if (kind != null
                    && processes != nodeProcesses > 0
                    && (processes || kind.strikesNodes())) {
                s.complain(
                        "kind",
                        processes
                                ? "needs day.node-processes"
                                : "strikes nodes of this process: day.node-processes"
                                        + " must be 0");
            }
            long least = (long) s.number("for-ms", 0, 1e9, 1_000);
            long most = (long) s.number("for-most-ms", least, 1e9, least);
            wrong.add(
                    new Fault(
                            at,
                            kind,
                            s.number("part", 0, 1, 0.25),
                            least,
                            most,
                            (long) s.number("every-ms", 1, 1e9, Math.max(1, 2 * least)),
                            s.text("zone", ""),
                            taskClass,
                            s.number("factor", 0, 1_000, 1),
                            s.whole("times", 1, 1_000, 1)));
        }
        SiteFile site = SiteFile.of(file);
        return new ScenarioFile(
                script,
                site,
                seconds,
                quiet,
                seed,
                placers,
                nodeProcesses,
                clients,
                vanish,
                tls,
                named(file, site, fleets, fleet, kindOf),
                known(file, site, traffic, streams),
                wrong);
    }

    private static NodeBehavior behaviour(Section s) {
        NodeBehavior b = NodeBehavior.usual(Map.of());
        return new NodeBehavior(
                s.millis("think-least-ms", 0, 60_000, 2),
                s.millis("think-most-ms", 0, 60_000, 8),
                s.whole("queue", 1, 1_000_000, b.offerQueueLength()),
                s.whole("starts-at-once", 1, 1_000_000, b.concurrentStarts()),
                s.millis("start-ms", 0, 600_000, 60),
                s.number("start-factor", 1, 1_000, b.coldProgramFactor()),
                s.whole("programs", 0, 10_000, b.cachedPrograms()),
                b.slowStartMicros(),
                b.slowStartInitialShare(),
                b.slowStartMultiple(),
                b.slowStartWindowMicros(),
                b.slowStartOffers(),
                s.number("uses-least", 0, 10, b.minUsageFraction()),
                s.number("uses-most", 0, 10, b.maxUsageFraction()),
                b.defaultRunMicros(),
                s.millis("uses-every-ms", 0, 600_000, 5_000),
                Map.of());
    }

    /**
     * Fleets with their kinds, and with what the site says of cold nodes and keys: nodes and rules
     * agree.
     */
    private static List<Fleet> named(
            TomlFile file,
            SiteFile site,
            List<Section> sections,
            List<Fleet> fleets,
            List<String[]> kinds)
            throws ConfigException {
        Placement.Settings m = site.site().placement();
        Placement.Rules r = m.rules();
        Map<String, Long> windows = new java.util.HashMap<>();
        m.classes().stream()
                .filter(c -> c.idempotency() == Placement.Idempotency.IDEMPOTENT_WITH_KEY)
                .forEach(c -> windows.put(c.name(), c.keyWindowMicros()));
        List<Fleet> named = new ArrayList<>();
        for (int i = 0; i < fleets.size(); i++) {
            String[] words = kinds.get(i);
            Placement.MachineKind kind =
                    m.machineKinds().stream()
                            .filter(k -> k.name().equals(words[0]))
                            .findFirst()
                            .orElse(null);
            if (kind == null) {
                sections.get(i).complain("kind", "no kind " + words[0] + " stands in this file");
            }
            NodeBehavior b = fleets.get(i).behaviour();
            named.add(
                    new Fleet(
                            words[1],
                            fleets.get(i).count(),
                            kind,
                            List.of(words[2].split(" *, *")),
                            new NodeBehavior(
                                    b.minDecisionMicros(),
                                    b.maxDecisionMicros(),
                                    b.offerQueueLength(),
                                    b.concurrentStarts(),
                                    b.startMicros(),
                                    b.coldProgramFactor(),
                                    b.cachedPrograms(),
                                    r.slowStartMicros(),
                                    Math.max(0.01, r.slowStartInitialShare()),
                                    r.slowStartMultiple(),
                                    r.slowStartWindowMicros(),
                                    (int) r.slowStartOffers(),
                                    b.minUsageFraction(),
                                    b.maxUsageFraction(),
                                    b.defaultRunMicros(),
                                    b.usageReportMicros(),
                                    windows)));
        }
        file.check();
        return named;
    }

    private static List<Traffic> known(
            TomlFile file, SiteFile site, List<Section> sections, List<Traffic> traffic)
            throws ConfigException {
        for (int i = 0; i < traffic.size(); i++) {
            String name = traffic.get(i).taskClass();
            if (site.site().placement().classes().stream().noneMatch(c -> c.name().equals(name))) {
                sections.get(i).complain("class", "no class " + name + " stands in this file");
            }
        }
        file.check();
        return traffic;
    }
}

package thornferry.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import thornferry.decisions.Placement.Cause;
import thornferry.decisions.Placement.Held;
import thornferry.decisions.Placement.MachineState;
import thornferry.decisions.Placement.Outcome;

/**
 * Why each task waits, as a value that is true now: derived from what holds the task back (its
 * place in the line, the limit, what the module told last, the attempt that is out), never from a
 * record of the past. Changes are kept as a bounded history until some time after the task's end.
 *
 * <p>A task is known by its owner and the owner's name for it. Nothing that is another owner's is
 * ever part of a reason. Times are microseconds.
 */
public final class Reasons {
    /** What holds a task back. */
    public enum Kind {
        /**
         * No machine that is known could ever take it: it asks more than any has, or for a kind
         * that none is.
         */
        NO_FIT,
        /** Machines could take it, but lack cores or memory now. */
        NO_ROOM,
        /** Machines turned it down, or turn such tasks down, in words of their own. */
        REFUSED,
        /**
         * Machines that could take it are silent, gone, held out, or leave its class unanswered.
         */
        OUT_OF_TRUST,
        /** Its key is held: a copy stands or stood within the window. */
        KEY_HELD,
        /** The machines that could take it drain. */
        DRAINING,
        /** As many of its service as may be stand wherever there is room. */
        SPREAD,
        /** Machines that could take it have just started and bear no more starts now. */
        COLD,
        /** No machine is known. */
        NO_NODES,
        /** A limit of its owner. */
        OWN_LIMIT,
        /** A limit of its owner's tenant. */
        TENANT_LIMIT,
        /** Its tenant has more than its share and others are asked for first. */
        TENANT_SHARE,
        /**
         * The limit for all together is reached, or more is asked than can be placed and the line
         * sheds.
         */
        OVERLOADED,
        /** Room is being kept for a larger task of more worth, for a bounded time. */
        GATHERING,
        /**
         * An earlier attempt may have run; until that is known no other is made, or only where
         * repeats are dropped.
         */
        PROOF,
        /** It was offered to a machine and its answer is due. */
        ANSWER,
        /** Its turn has not come. */
        TURN
    }

    /**
     * One piece of evidence. {@code nodes} counts machines, 0 where it is about none; {@code name}
     * is a machine, a limit or a task of the same owner's, empty for none; {@code needs} and {@code
     * has} as {@code what} says, NaN for none.
     */
    public record Evidence(String what, String name, int nodes, double needs, double has) {
        Evidence(String what, int nodes) {
            this(what, "", nodes, Double.NaN, Double.NaN);
        }
    }

    /**
     * @param ends what would end it, in words
     */
    public record Reason(Kind kind, long since, List<Evidence> evidence, String ends) {
        /** One plain sentence. */
        public String sentence() {
            return Words.sentence(this);
        }
    }

    /** What is being done for the task. */
    public enum State {
        WAITING,
        PLACED,
        REFUSED,
        FAILED,
        OVER,
        UNKNOWN
    }

    /** A change of reason or state; {@code reason} null where the state is not WAITING. */
    public record Change(long at, State state, Reason reason) {}

    /**
     * All about one task. {@code asks} how often it was asked for, {@code attempts} offers made
     * over all of them.
     */
    public record Why(
            String owner,
            String task,
            String taskClass,
            State state,
            Reason reason,
            long waitingSince,
            int asks,
            int attempts,
            List<Change> history) {}

    /** A task's reason or state is now another: for those who watch. */
    public record Changed(String owner, String tenant, String task) {}

    /**
     * @param on whether reasons are kept at all
     * @param records so many; beyond, those of tasks no longer waiting go, oldest first
     * @param history changes kept of each task; the first and the latest
     * @param keepFor microseconds after a task's end
     */
    public record Limits(boolean on, int records, int history, long keepFor) {
        public Limits {
            if (records < 1 || history < 2 || keepFor < 0) {
                throw new IllegalArgumentException("limits of reasons must be above 0");
            }
        }
    }

    private static final class Record {
        final String owner;
        final String task;
        String tenant = "";
        Line.Item item;
        String shape = "";
        String key = "";
        boolean keyed;
        State state = State.WAITING;
        boolean settling;
        String suspect = "";
        String request;
        Held held;
        String at = ""; // the machine of the attempt that is out, or the placed one
        Fleet.Said said = Fleet.Said.NONE; // by the last machine that turned it down
        String failedAt = "";
        Outcome failed;
        long since; // waiting, in this ask
        int asks;
        int attempts;
        Reason reason;
        ArrayDeque<Change> history = new ArrayDeque<>(2);
        long endedAt;

        Record(String owner, String task) {
            this.owner = owner;
            this.task = task;
        }
    }

    /**
     * Waiting tasks looked at in one tick, beyond those that something happened to: all in so many
     * ticks, up to 1,800.
     */
    private static final int SWEEP = 200;

    private static final int SWEEP_LEAST = 4;
    private static final int SWEEP_TICKS = 9;

    /** Less is not worth telling. */
    private static final double AMOUNT = 0.05;

    /** How many are counted that come before a task. */
    private static final int AHEAD_MOST = 1_000;

    private final Limits limits;
    private final Fleet fleet;
    private final Line line;
    private final Map<String, String> needs;
    private final ToLongFunction<String> links; // -1 where a machine has none
    private final Map<String, Record> records = new HashMap<>();
    private final Map<String, Record> byRequest = new HashMap<>();
    private final LinkedHashMap<String, Record> waiting = new LinkedHashMap<>();
    private final LinkedHashMap<String, Record> ended =
            new LinkedHashMap<>(); // in the order of endedAt
    private final Set<Record> touched = new LinkedHashSet<>();
    private final Map<String, String> keys =
            new HashMap<>(); // owner, class and key -> task that is placed with it
    private final Map<String, Shape> shapes = new HashMap<>();
    private final ArrayDeque<Record> sweep = new ArrayDeque<>();

    private record Shape(long version, Reason reason) {}

    /**
     * @param needs the kind of machine that a class needs; none where any will do
     * @param links gives the connection of a machine, -1 where it has none
     */
    public Reasons(
            Limits limits,
            Fleet fleet,
            Line line,
            Map<String, String> needs,
            ToLongFunction<String> links) {
        this.needs = Map.copyOf(needs);
        this.limits = limits;
        this.fleet = fleet;
        this.line = line;
        this.links = links;
    }

    private static String id(String owner, String task) {
        return owner.length() + ":" + owner + "/" + task;
    }

    private static String keyId(String owner, String taskClass, String key) {
        return owner.length() + ":" + owner + taskClass.length() + ":" + taskClass + key;
    }

    // ---- what happens to a task ----
    /**
     * A task is asked for and waits.
     *
     * @param settling for machines to say what runs, after a start of the placer
     * @param suspect the machine that may have run it before that start, whose word is lacking;
     *     empty for none
     */
    public void asked(
            long now,
            String owner,
            String tenant,
            String task,
            String key,
            boolean keyed,
            boolean settling,
            String suspect) {
        if (!limits.on()) {
            return;
        }
        Record r = records.computeIfAbsent(id(owner, task), k -> new Record(owner, task));
        r.tenant = tenant;
        r.key = key;
        r.keyed = keyed;
        r.settling = settling;
        r.suspect = suspect;
        r.state = State.WAITING;
        r.since = now;
        r.asks++;
        r.held = null;
        r.item = null;
        r.request = null;
        r.at = "";
        r.said = Fleet.Said.NONE;
        r.failedAt = "";
        r.failed = null;
        r.reason = null;
        ended.remove(id(owner, task));
        waiting.put(id(owner, task), r);
        touched.add(r);
    }

    /** It goes into the line, as this item. */
    public void inLine(String task, Line.Item item) {
        Record r = records.get(id(item.owner(), task));
        if (r != null && r.state == State.WAITING) {
            r.item = item;
            r.shape = item.cores() + "/" + item.memory() + "/" + item.taskClass();
            r.settling = false;
            if (r.request != null) {
                byRequest.remove(r.request);
            }
            r.request = item.request();
            byRequest.put(item.request(), r);
            touched.add(r);
        }
    }

    /** The module told why it holds the request. */
    public void held(Held why) {
        Record r = byRequest.get(why.id());
        if (r != null && r.state == State.WAITING) {
            r.held = why;
            touched.add(r);
        }
    }

    public void offered(String request, String machine) {
        Record r = byRequest.get(request);
        if (r != null) {
            r.at = machine;
            r.attempts++;
            r.held = null;
            touched.add(r);
        }
    }

    /** A machine turned the offer down, in its words. */
    public void turnedDown(String request, String machine, Fleet.Said said) {
        Record r = byRequest.get(request);
        if (r != null) {
            r.said = said;
            r.failedAt = machine;
        }
    }

    public void attemptOver(String request, String machine, Outcome outcome) {
        Record r = byRequest.get(request);
        if (r != null && r.state == State.WAITING) {
            if (outcome != Outcome.REFUSED) {
                r.said = Fleet.Said.NONE;
            }
            r.failedAt = machine;
            r.failed = outcome;
            r.at = "";
            touched.add(r);
        }
    }

    /** Something about the request's place in the line changed. */
    public void moved(String request) {
        Record r = byRequest.get(request);
        if (r != null) {
            touched.add(r);
        }
    }

    /** Its result is known. */
    public void answered(long now, String owner, String task, State state, String machine) {
        Record r = records.get(id(owner, task));
        if (r == null && !limits.on()) {
            return;
        } else if (r == null) {
            r = new Record(owner, task); // adopted: it ran before this placer started
            r.since = now;
            records.put(id(owner, task), r);
        }
        boolean waited = waiting.remove(id(owner, task)) != null;
        r.state = state;
        r.at = machine;
        r.reason = null;
        r.held = null;
        if (r.request != null && state != State.PLACED) {
            byRequest.remove(r.request);
        }
        if (state == State.PLACED && r.keyed) {
            keys.put(keyId(owner, r.item == null ? "" : r.item.taskClass(), r.key), task);
        }
        note(r, new Change(now, state, null));
        if (waited) {
            touched.add(r);
        }
        if (state != State.PLACED) {
            end(now, r);
        }
    }

    /** Its placed task is over. */
    public void over(long now, String owner, String task) {
        Record r = records.get(id(owner, task));
        if (r != null && r.state == State.PLACED) {
            r.state = State.OVER;
            if (r.request != null) {
                byRequest.remove(r.request);
            }
            if (r.keyed) {
                keys.remove(keyId(owner, r.item == null ? "" : r.item.taskClass(), r.key), task);
            }
            note(r, new Change(now, State.OVER, null));
            end(now, r);
        }
    }

    private void end(long now, Record r) {
        r.endedAt = now;
        ended.remove(id(r.owner, r.task));
        ended.put(id(r.owner, r.task), r);
    }

    private void note(Record r, Change change) {
        r.history.add(change);
        if (r.history.size() > limits.history()) {
            Change first = r.history.removeFirst();
            r.history.removeFirst();
            r.history.addFirst(first); // when it began is kept, whatever came between
        }
    }

    // ---- time ----
    /**
     * Looks at whatever changed; {@code changed} hears of each task whose reason or state is now
     * another.
     */
    public void tick(long now, Consumer<Changed> changed) {
        List<Record> happened = new ArrayList<>(touched);
        touched.clear();
        for (Record r : happened) {
            look(now, r);
            changed.accept(new Changed(r.owner, r.tenant, r.task));
        }
        if (sweep.isEmpty()) {
            sweep.addAll(waiting.values());
        }
        int most = Math.min(SWEEP, SWEEP_LEAST + waiting.size() / SWEEP_TICKS);
        for (int i = 0; i < most && !sweep.isEmpty(); i++) {
            Record r = sweep.poll();
            Reason before = r.reason;
            look(now, r);
            if (r.state == State.WAITING && !same(before, r.reason)) {
                changed.accept(new Changed(r.owner, r.tenant, r.task));
            }
        }
        while (!ended.isEmpty()) {
            Record oldest = ended.values().iterator().next();
            if (now - oldest.endedAt < limits.keepFor() && records.size() <= limits.records()) {
                break;
            }
            String id = id(oldest.owner, oldest.task);
            ended.remove(id);
            records.remove(id);
        }
        if (shapes.size() > 1_000) {
            shapes.clear();
        }
    }

    /**
     * Derives the reason anew; a change of its kind, or of whom it is about, is kept as history.
     */
    private void look(long now, Record r) {
        if (r.state != State.WAITING) {
            return;
        }
        Reason next = derive(now, r);
        Reason before = r.reason;
        boolean other = before == null || before.kind() != next.kind();
        r.reason =
                new Reason(next.kind(), other ? now : before.since(), next.evidence(), next.ends());
        if (other) {
            note(r, new Change(now, State.WAITING, r.reason));
        }
    }

    private static boolean same(Reason a, Reason b) {
        return a == b
                || a != null
                        && b != null
                        && a.kind() == b.kind()
                        && a.evidence().equals(b.evidence());
    }

    // ---- deriving ----
    private Reason derive(long now, Record r) {
        if (r.settling && !r.suspect.isEmpty()) {
            return reason(
                    Kind.PROOF,
                    List.of(
                            new Evidence(
                                    "it may have run there before the placer was started anew",
                                    r.suspect,
                                    1,
                                    Double.NaN,
                                    Double.NaN)),
                    "the node has said what became of it, or patience ends");
        }
        if (r.settling) {
            return reason(
                    Kind.PROOF,
                    List.of(new Evidence("the placer has just started", 0)),
                    "nodes have said what runs, or the settle time is over");
        }
        if (r.request == null) {
            return reason(Kind.TURN, List.of(), "its turn comes");
        }
        Line.Standing at = line.standing(now, r.request);
        switch (at.where()) {
            case LINE:
                return inLine(r, at);
            case PARKED:
                return at.hold() != null ? held(at.hold(), r) : shape(r);
            case OFFERED:
                return out(r);
            default:
                return r.held == null
                        ? reason(Kind.TURN, List.of(), "the module has looked at it")
                        : classify(r, r.held);
        }
    }

    private Reason inLine(Record r, Line.Standing at) {
        if (at.hold() != null) {
            return held(at.hold(), r);
        } else if (at.gathering()) {
            return reason(
                    Kind.GATHERING,
                    List.of(),
                    "the larger task is placed, or the time for it is over");
        } else if (line.overload()) {
            return reason(
                    Kind.OVERLOADED,
                    List.of(new Evidence("tasks wait", "", 0, Double.NaN, line.waiting())),
                    "less is asked for, or more is placed");
        } else if (at.behind()) {
            return reason(
                    Kind.TENANT_SHARE,
                    List.of(
                            new Evidence(
                                    "tenant above its share", r.tenant, 0, Double.NaN, Double.NaN)),
                    "tasks of your tenant end, or the other tenants' turn is over");
        }
        return reason(Kind.TURN, List.of(), "those before it are placed or leave");
    }

    private static Reason held(Line.Hold h, Record r) {
        Kind kind =
                h.scope() == Line.Scope.OWNER
                        ? Kind.OWN_LIMIT
                        : h.scope() == Line.Scope.TENANT ? Kind.TENANT_LIMIT : Kind.OVERLOADED;
        String ends =
                h.until() < Long.MAX_VALUE / 8
                        ? "time passes: the limit counts by the second"
                        : kind == Kind.OWN_LIMIT
                                ? "a task of yours ends, or the limit is raised"
                                : kind == Kind.TENANT_LIMIT
                                        ? "a task of your tenant ends, or the limit is raised"
                                        : "a task of the site ends, or the limit is raised";
        double has = h.limit().equals("asks again") ? Double.NaN : h.uses();
        // a shared limit's use would tell of others' tasks
        return reason(
                kind,
                List.of(
                        new Evidence(
                                "limit of " + h.limit(),
                                kind == Kind.OWN_LIMIT
                                        ? r.owner
                                        : kind == Kind.TENANT_LIMIT ? r.tenant : "",
                                0,
                                h.allows(),
                                kind == Kind.OWN_LIMIT ? has : Double.NaN)),
                ends);
    }

    private Reason out(Record r) {
        if (links.applyAsLong(r.at) < 0) {
            return reason(
                    Kind.PROOF,
                    List.of(
                            new Evidence(
                                    "it was offered there and the connection broke",
                                    r.at,
                                    1,
                                    Double.NaN,
                                    Double.NaN)),
                    "node " + r.at + " connects and says whether it has it, or its time is over");
        }
        return reason(
                Kind.ANSWER,
                List.of(new Evidence("offered to", r.at, 1, Double.NaN, Double.NaN)),
                "node " + r.at + " answers, or its time is over");
    }

    /**
     * Parked tasks: the module has not got them, so what is seen of the machines tells. Many share
     * a shape.
     */
    private Reason shape(Record r) {
        Shape known = shapes.get(r.shape);
        if (known == null || known.version() != fleet.version()) {
            known = new Shape(fleet.version(), parkedReason(r));
            shapes.put(r.shape, known);
        }
        return known.reason();
    }

    private Reason parkedReason(Record r) {
        int[] counts = new int[Cause.values().length];
        String closest = "";
        double least = Double.POSITIVE_INFINITY;
        double lackCores = 0;
        double lackMemory = 0;
        int fits = 0;
        for (Fleet.Seen m : fleet.all()) {
            if (m.state != MachineState.READY) {
                continue;
            }
            double cores = Math.max(0, r.item.cores() - m.coresFree);
            double memory = Math.max(0, r.item.memory() - m.memoryFree);
            if (!ofKind(r, m)) {
                counts[Cause.WRONG_KIND.ordinal()]++;
            } else if (r.item.cores() > m.cores || r.item.memory() > m.memory) {
                counts[Cause.TOO_SMALL.ordinal()]++;
            } else if (m.silent) {
                counts[Cause.OUT_OF_TRUST.ordinal()]++;
            } else if (cores > 0 || memory > 0) {
                counts[(cores > 0 ? Cause.NO_CORES : Cause.NO_MEMORY).ordinal()]++;
                double lacks = Math.max(cores / m.cores, memory / m.memory);
                if (lacks < least) {
                    least = lacks;
                    closest = m.name;
                    lackCores = cores;
                    lackMemory = memory;
                }
            } else {
                fits++;
            }
        }
        if (fits > 0) {
            return reason(
                    Kind.TURN,
                    List.of(new Evidence("nodes that may have room", fits)),
                    "it is asked for again");
        }
        return classify(
                r,
                new Held(
                        r.request,
                        java.util.Arrays.stream(counts).boxed().toList(),
                        closest,
                        lackCores,
                        lackMemory));
    }

    /**
     * The kind that stands nearest to its end: what ready machines lack, if any could take the task
     * at all; else what keeps the others from being ready; else that none fits. All the rest is
     * evidence.
     */
    private Reason classify(Record r, Held held) {
        List<Evidence> evidence = new ArrayList<>();
        add(evidence, "too small for it", of(held, Cause.TOO_SMALL));
        add(evidence, "of another kind than it needs", of(held, Cause.WRONG_KIND));
        int draining = 0;
        int gone = 0;
        List<String> drains = new ArrayList<>();
        List<String> away = new ArrayList<>();
        int known = 0;
        for (Fleet.Seen m : fleet.all()) {
            known++;
            boolean could =
                    r.item.cores() <= m.cores && r.item.memory() <= m.memory && ofKind(r, m);
            if (could && m.state == MachineState.DRAINING) {
                draining++;
                drains.add(m.name);
            } else if (could && m.state == MachineState.GONE) {
                gone++;
                away.add(m.name);
            }
        }
        Map<Kind, Integer> counts = new LinkedHashMap<>();
        room(held, evidence, counts);
        refused(r, held, evidence, counts);
        failed(r, held, evidence, counts);
        count(
                counts,
                evidence,
                Kind.OUT_OF_TRUST,
                "silent or out of reach",
                of(held, Cause.OUT_OF_TRUST));
        count(
                counts,
                evidence,
                Kind.OUT_OF_TRUST,
                "leaves its class unanswered",
                of(held, Cause.CLASS_OUT));
        count(
                counts,
                evidence,
                Kind.PROOF,
                "not of the group where an earlier attempt may have run",
                of(held, Cause.KEY_GROUP));
        count(
                counts,
                evidence,
                Kind.SPREAD,
                "as many of its service as may be",
                of(held, Cause.SPREAD));
        count(
                counts,
                evidence,
                Kind.COLD,
                "just started and given all the starts it bears",
                of(held, Cause.COLD));
        Kind kind = null;
        for (Map.Entry<Kind, Integer> e : counts.entrySet()) {
            kind = kind == null || e.getValue() > counts.get(kind) ? e.getKey() : kind;
        }
        if (draining > 0) {
            evidence.add(new Evidence("drains", drains.get(0), draining, Double.NaN, Double.NaN));
        }
        if (gone > 0) {
            evidence.add(
                    new Evidence(
                            "without a connection", away.get(0), gone, Double.NaN, Double.NaN));
        }
        if (kind == null) {
            kind =
                    draining > 0 && draining >= gone
                            ? Kind.DRAINING
                            : gone > 0
                                    ? Kind.OUT_OF_TRUST
                                    : known == 0 ? Kind.NO_NODES : Kind.NO_FIT;
        }
        return reason(kind, evidence, ends(kind, held, drains, away));
    }

    private boolean ofKind(Record r, Fleet.Seen m) {
        String needed = needs.getOrDefault(r.item.taskClass(), "");
        return needed.isEmpty() || needed.equals(m.kind);
    }

    private static int of(Held held, Cause cause) {
        return held.causes().get(cause.ordinal());
    }

    private static void add(List<Evidence> evidence, String what, int nodes) {
        if (nodes > 0) {
            evidence.add(new Evidence(what, nodes));
        }
    }

    private static void count(
            Map<Kind, Integer> counts, List<Evidence> evidence, Kind kind, String what, int nodes) {
        add(evidence, what, nodes);
        if (nodes > 0) {
            counts.merge(kind, nodes, Integer::sum);
        }
    }

    private static void room(Held held, List<Evidence> evidence, Map<Kind, Integer> counts) {
        count(counts, evidence, Kind.NO_ROOM, "not enough cores", of(held, Cause.NO_CORES));
        count(counts, evidence, Kind.NO_ROOM, "not enough memory", of(held, Cause.NO_MEMORY));
        if (!held.closest().isEmpty()) {
            if (held.cores() > AMOUNT) {
                evidence.add(
                        new Evidence(
                                "closest, lacks cores",
                                held.closest(),
                                1,
                                held.cores(),
                                Double.NaN));
            }
            if (held.memory() > AMOUNT) {
                evidence.add(
                        new Evidence(
                                "closest, lacks memory",
                                held.closest(),
                                1,
                                held.memory(),
                                Double.NaN));
            }
        }
    }

    private void refused(Record r, Held held, List<Evidence> evidence, Map<Kind, Integer> counts) {
        int refused = of(held, Cause.REFUSED);
        int cores = 0;
        int memory = 0;
        String node = "";
        for (Fleet.Seen m : fleet.all()) {
            if (m.state == MachineState.READY
                    && (m.refused == Fleet.Said.NO_CORES || m.refused == Fleet.Said.NO_MEMORY)) {
                cores += m.refused == Fleet.Said.NO_CORES ? 1 : 0;
                memory += m.refused == Fleet.Said.NO_MEMORY ? 1 : 0;
                node = m.name;
            }
        }
        if (refused > 0) {
            counts.merge(Kind.REFUSED, refused, Integer::sum);
            if (cores > 0) {
                evidence.add(
                        new Evidence(
                                "refused: not enough cores",
                                memory == 0 ? node : "",
                                Math.min(refused, cores),
                                Double.NaN,
                                Double.NaN));
            }
            if (memory > 0) {
                evidence.add(
                        new Evidence(
                                "refused: not enough memory",
                                cores == 0 ? node : "",
                                Math.min(refused, memory),
                                Double.NaN,
                                Double.NaN));
            }
            if (cores + memory == 0) {
                evidence.add(new Evidence("refused as much or less", refused));
            }
        }
        count(
                counts,
                evidence,
                Kind.REFUSED,
                "refused: too many offers wait there",
                of(held, Cause.CROWDED));
    }

    /**
     * The machine that failed it last gets it no second time in a row: what it said decides the
     * kind.
     */
    private void failed(Record r, Held held, List<Evidence> evidence, Map<Kind, Integer> counts) {
        if (of(held, Cause.FAILED_IT) == 0) {
            return;
        }
        Fleet.Seen node = fleet.machine(r.failedAt);
        // what it said counts until it is listed as ready anew, or accepts something
        boolean drains =
                node != null
                        && (node.state == MachineState.DRAINING
                                || r.said == Fleet.Said.DRAINING
                                        && node.refused == Fleet.Said.DRAINING);
        if (r.failed != Outcome.REFUSED) {
            counts.merge(Kind.OUT_OF_TRUST, 1, Integer::sum);
            evidence.add(
                    new Evidence(
                            "left the last offer unanswered, or broke off",
                            r.failedAt,
                            1,
                            Double.NaN,
                            Double.NaN));
        } else if (r.said == Fleet.Said.KEY_HELD || r.said == Fleet.Said.NOT_HERE && r.keyed) {
            counts.merge(Kind.KEY_HELD, 1, Integer::sum);
            String own = keys.getOrDefault(keyId(r.owner, r.item.taskClass(), r.key), "");
            evidence.add(
                    new Evidence(
                            own.isEmpty() ? "key held" : "key held by a task of yours",
                            own,
                            1,
                            Double.NaN,
                            Double.NaN));
        } else if (drains) {
            counts.merge(Kind.DRAINING, 1, Integer::sum);
            evidence.add(new Evidence("refused: it drains", r.failedAt, 1, Double.NaN, Double.NaN));
        } else {
            counts.merge(Kind.REFUSED, 1, Integer::sum);
            evidence.add(
                    new Evidence(
                            "refused the last offer and gets it no second time in a row",
                            r.failedAt,
                            1,
                            Double.NaN,
                            Double.NaN));
        }
    }

    private static String ends(Kind kind, Held held, List<String> drains, List<String> away) {
        return switch (kind) {
            case NO_ROOM ->
                    held.closest().isEmpty()
                            ? "a task ends somewhere"
                            : "node "
                                    + held.closest()
                                    + " frees "
                                    + amount(held.cores(), " cores", held.memory())
                                    + ", or another as much";
            case NO_FIT -> "a node that is large enough, and of the kind it needs, joins";
            case REFUSED -> "a node that refused reports more room, or another has room";
            case OUT_OF_TRUST ->
                    away.isEmpty()
                            ? "a silent node answers again"
                            : "node "
                                    + away.get(0)
                                    + " connects"
                                    + (away.size() > 1
                                            ? ", or one of " + (away.size() - 1) + " more"
                                            : "");
            case KEY_HELD -> "the copy ends and the key's window is over";
            case DRAINING ->
                    drains.isEmpty()
                            ? "the drain ends, or another node has room"
                            : "the drain of node "
                                    + drains.get(0)
                                    + " ends, or another node has room";
            case SPREAD -> "a task of its service ends there";
            case COLD -> "the nodes have been up for longer";
            case NO_NODES -> "a node connects";
            case PROOF -> "a node of that group has room, or the key's window is over";
            default -> "";
        };
    }

    private static String amount(double cores, String unit, double memory) {
        String c = cores > AMOUNT ? String.format(Locale.ROOT, "%.2f", cores) + unit : "";
        String m = memory > AMOUNT ? String.format(Locale.ROOT, "%.2f", memory) + " memory" : "";
        return c.isEmpty() && m.isEmpty()
                ? "a little"
                : c + (c.isEmpty() || m.isEmpty() ? "" : " and ") + m;
    }

    private static Reason reason(Kind kind, List<Evidence> evidence, String ends) {
        return new Reason(kind, 0, List.copyOf(evidence), ends);
    }

    // ---- to be read ----
    /**
     * All about a task of this owner's; state UNKNOWN, and nothing else, where the owner has no
     * such task.
     */
    public Why why(long now, String owner, String task) {
        Record r = records.get(id(owner, task));
        if (r == null) {
            return new Why(owner, task, "", State.UNKNOWN, null, 0, 0, 0, List.of());
        }
        look(now, r);
        return new Why(
                owner,
                task,
                r.item == null ? "" : r.item.taskClass(),
                r.state,
                shown(r),
                r.since,
                r.asks,
                r.attempts,
                new ArrayList<>(r.history));
    }

    /** How many come before it is counted only for one who reads it: it changes all the time. */
    private Reason shown(Record r) {
        Reason now = r.reason;
        if (now == null
                || now.kind() != Kind.TURN
                || r.request == null
                || !now.evidence().isEmpty()) {
            return now;
        }
        int ahead = line.ahead(r.request, AHEAD_MOST);
        return new Reason(
                now.kind(),
                now.since(),
                List.of(new Evidence("tasks of your tenant before it", "", 0, Double.NaN, ahead)),
                now.ends());
    }

    /** The reason of a request that waits, or null. */
    public Reason of(long now, String request) {
        Record r = byRequest.get(request);
        if (r != null) {
            look(now, r);
        }
        return r == null ? null : r.reason;
    }

    /**
     * One owner's waiting tasks, oldest first, {@code most} at the most; of all owners where null.
     */
    public List<Why> waiting(long now, String owner, int most) {
        List<Why> list = new ArrayList<>();
        for (Record r : waiting.values()) {
            if (list.size() >= most) {
                break;
            }
            if (owner == null || owner.equals(r.owner)) {
                list.add(why(now, r.owner, r.task));
            }
        }
        return list;
    }

    /**
     * How many wait for each reason, by tenant; of one owner's, or of all where null. As of the
     * last look.
     */
    public Map<String, Map<Kind, Integer>> table(String owner) {
        Map<String, Map<Kind, Integer>> table = new java.util.TreeMap<>();
        for (Record r : waiting.values()) {
            if (r.reason != null && (owner == null || owner.equals(r.owner))) {
                table.computeIfAbsent(r.tenant, t -> new java.util.EnumMap<>(Kind.class))
                        .merge(r.reason.kind(), 1, Integer::sum);
            }
        }
        return Collections.unmodifiableMap(table);
    }

    public int waiting() {
        return waiting.size();
    }

    public int known() {
        return records.size();
    }
}

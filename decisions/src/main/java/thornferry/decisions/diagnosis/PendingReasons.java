package thornferry.decisions.diagnosis;

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
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.admission.QueuedRequest;
import thornferry.decisions.admission.QuotaBlock;
import thornferry.decisions.admission.QuotaScope;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.MachineStatus;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Pending;

/**
 * Why each task waits, as a value that is true now: derived from what holds the task back (its
 * place in the line, the limit, what the module told last, the attempt that is out), never from a
 * record of the past. Changes are kept as a bounded history until some time after the task's end.
 *
 * <p>A task is known by its owner and the owner's name for it. Nothing that is another owner's is
 * ever part of a reason. Times are microseconds.
 */
public final class PendingReasons {
    /** What holds a task back. */
    public enum Kind {
        /**
         * No machine that is known could ever take it: it asks more than any has, or for a kind
         * that none is.
         */
        UNSATISFIABLE,
        /** Machines could take it, but lack cores or memory now. */
        NO_CAPACITY,
        /** Machines turned it down, or turn such tasks down, in words of their own. */
        REJECTED,
        /**
         * Machines that could take it are silent, gone, held out, or leave its class unanswered.
         */
        MACHINES_EJECTED,
        /** Its key is held: a copy stands or stood within the window. */
        KEY_HELD,
        /** The machines that could take it drain. */
        DRAINING,
        /** As many of its service as may be stand wherever there is room. */
        SPREAD_LIMIT,
        /** Machines that could take it have just started and bear no more starts now. */
        WARMING_UP,
        /** No machine is known. */
        NO_MACHINES,
        /** A limit of its owner. */
        OWNER_QUOTA,
        /** A limit of its owner's tenant. */
        TENANT_QUOTA,
        /** Its tenant has more than its share and others are asked for first. */
        FAIR_SHARE,
        /**
         * The limit for all together is reached, or more is asked than can be placed and the line
         * sheds.
         */
        OVERLOADED,
        /** Room is being kept for a larger task of more worth, for a bounded time. */
        CAPACITY_RESERVED,
        /**
         * An earlier attempt may have run; until that is known no other is made, or only where
         * repeats are dropped.
         */
        INDETERMINATE,
        /** It was offered to a machine and its answer is due. */
        AWAITING_RESPONSE,
        /** Its turn has not come. */
        QUEUED
    }

    /**
     * One piece of evidence. {@code machines} counts machines, 0 where it is about none; {@code
     * name} is a machine, a limit or a task of the same owner's, empty for none; {@code needed} and
     * {@code available} as {@code description} says, NaN for none.
     */
    public record Evidence(
            String description, String name, int machines, double needed, double available) {
        Evidence(String what, int nodes) {
            this(what, "", nodes, Double.NaN, Double.NaN);
        }
    }

    /**
     * @param endsWhen what would end it, in words
     */
    public record Reason(Kind kind, long sinceMicros, List<Evidence> evidence, String endsWhen) {
        /** One plain sentence. */
        public String sentence() {
            return ReasonFormatter.sentence(this);
        }
    }

    /** What is being done for the task. */
    public enum State {
        WAITING,
        PLACED,
        REJECTED,
        FAILED,
        FINISHED,
        UNKNOWN
    }

    /** A change of reason or state; {@code reason} null where the state is not WAITING. */
    public record Change(long atMicros, State state, Reason reason) {}

    /**
     * All about one task. {@code submissions} how often it was asked for, {@code attempts} offers
     * made over all of them.
     */
    public record Explanation(
            String owner,
            String task,
            String taskClass,
            State state,
            Reason reason,
            long waitingSinceMicros,
            int submissions,
            int attempts,
            List<Change> history) {}

    /** A task's reason or state is now another: for those who watch. */
    public record ReasonChanged(String owner, String tenant, String task) {}

    /**
     * @param enabled whether reasons are kept at all
     * @param maxRecords so many; beyond, those of tasks no longer waiting go, oldest first
     * @param maxHistory changes kept of each task; the first and the latest
     * @param retentionMicros microseconds after a task's end
     */
    public record Limits(boolean enabled, int maxRecords, int maxHistory, long retentionMicros) {
        public Limits {
            if (maxRecords < 1 || maxHistory < 2 || retentionMicros < 0) {
                throw new IllegalArgumentException("limits of reasons must be above 0");
            }
        }
    }

    private static final class Record {
        final String owner;
        final String task;
        String tenant = "";
        QueuedRequest item;
        String shape = "";
        String key = "";
        boolean keyed;
        State state = State.WAITING;
        boolean settling;
        String suspect = "";
        String request;
        Pending held;
        String at = ""; // the machine of the attempt that is out, or the placed one
        RejectionReason said = RejectionReason.NONE; // by the last machine that turned it down
        String failedAt = "";
        AttemptOutcome failed;
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
    private final ClusterView fleet;
    private final AdmissionQueue line;
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
     * @param needed the kind of machine that a class needs; none where any will do
     * @param links gives the connection of a machine, -1 where it has none
     */
    public PendingReasons(
            Limits limits,
            ClusterView fleet,
            AdmissionQueue line,
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
    public void submitted(
            long now,
            String owner,
            String tenant,
            String task,
            String key,
            boolean keyed,
            boolean settling,
            String suspect) {
        if (!limits.enabled()) {
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
        r.said = RejectionReason.NONE;
        r.failedAt = "";
        r.failed = null;
        r.reason = null;
        ended.remove(id(owner, task));
        waiting.put(id(owner, task), r);
        touched.add(r);
    }

    /** It goes into the line, as this item. */
    public void queued(String task, QueuedRequest item) {
        Record r = records.get(id(item.owner(), task));
        if (r != null && r.state == State.WAITING) {
            r.item = item;
            r.shape = item.cores() + "/" + item.memory() + "/" + item.taskClass();
            r.settling = false;
            if (r.request != null) {
                byRequest.remove(r.request);
            }
            r.request = item.requestId();
            byRequest.put(item.requestId(), r);
            touched.add(r);
        }
    }

    /** The module told why it holds the request. */
    public void pending(Pending why) {
        Record r = byRequest.get(why.requestId());
        if (r != null && r.state == State.WAITING) {
            r.held = why;
            touched.add(r);
        }
    }

    public void attemptStarted(String request, String machine) {
        Record r = byRequest.get(request);
        if (r != null) {
            r.at = machine;
            r.attempts++;
            r.held = null;
            touched.add(r);
        }
    }

    /** A machine turned the offer down, in its words. */
    public void offerRejected(String request, String machine, RejectionReason said) {
        Record r = byRequest.get(request);
        if (r != null) {
            r.said = said;
            r.failedAt = machine;
        }
    }

    public void attemptEnded(String request, String machine, AttemptOutcome outcome) {
        Record r = byRequest.get(request);
        if (r != null && r.state == State.WAITING) {
            if (outcome != AttemptOutcome.REJECTED) {
                r.said = RejectionReason.NONE;
            }
            r.failedAt = machine;
            r.failed = outcome;
            r.at = "";
            touched.add(r);
        }
    }

    /** Something about the request's place in the line changed. */
    public void stageChanged(String request) {
        Record r = byRequest.get(request);
        if (r != null) {
            touched.add(r);
        }
    }

    /** Its result is known. */
    public void completed(long now, String owner, String task, State state, String machine) {
        Record r = records.get(id(owner, task));
        if (r == null && !limits.enabled()) {
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
    public void finished(long now, String owner, String task) {
        Record r = records.get(id(owner, task));
        if (r != null && r.state == State.PLACED) {
            r.state = State.FINISHED;
            if (r.request != null) {
                byRequest.remove(r.request);
            }
            if (r.keyed) {
                keys.remove(keyId(owner, r.item == null ? "" : r.item.taskClass(), r.key), task);
            }
            note(r, new Change(now, State.FINISHED, null));
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
        if (r.history.size() > limits.maxHistory()) {
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
    public void tick(long now, Consumer<ReasonChanged> changed) {
        List<Record> happened = new ArrayList<>(touched);
        touched.clear();
        for (Record r : happened) {
            look(now, r);
            changed.accept(new ReasonChanged(r.owner, r.tenant, r.task));
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
                changed.accept(new ReasonChanged(r.owner, r.tenant, r.task));
            }
        }
        while (!ended.isEmpty()) {
            Record oldest = ended.values().iterator().next();
            if (now - oldest.endedAt < limits.retentionMicros()
                    && records.size() <= limits.maxRecords()) {
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
                new Reason(
                        next.kind(),
                        other ? now : before.sinceMicros(),
                        next.evidence(),
                        next.endsWhen());
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
                    Kind.INDETERMINATE,
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
                    Kind.INDETERMINATE,
                    List.of(new Evidence("the placer has just started", 0)),
                    "nodes have said what runs, or the settle time is over");
        }
        if (r.request == null) {
            return reason(Kind.QUEUED, List.of(), "its turn comes");
        }
        AdmissionQueue.Status at = line.status(now, r.request);
        switch (at.stage()) {
            case QUEUED:
                return queued(r, at);
            case BACKING_OFF:
                return at.quotaBlock() != null ? pending(at.quotaBlock(), r) : shape(r);
            case OFFERED:
                return out(r);
            default:
                return r.held == null
                        ? reason(Kind.QUEUED, List.of(), "the module has looked at it")
                        : classify(r, r.held);
        }
    }

    private Reason queued(Record r, AdmissionQueue.Status at) {
        if (at.quotaBlock() != null) {
            return pending(at.quotaBlock(), r);
        } else if (at.capacityReserved()) {
            return reason(
                    Kind.CAPACITY_RESERVED,
                    List.of(),
                    "the larger task is placed, or the time for it is over");
        } else if (line.overloaded()) {
            return reason(
                    Kind.OVERLOADED,
                    List.of(new Evidence("tasks wait", "", 0, Double.NaN, line.waitingCount())),
                    "less is asked for, or more is placed");
        } else if (at.aboveFairShare()) {
            return reason(
                    Kind.FAIR_SHARE,
                    List.of(
                            new Evidence(
                                    "tenant above its share", r.tenant, 0, Double.NaN, Double.NaN)),
                    "tasks of your tenant end, or the other tenants' turn is over");
        }
        return reason(Kind.QUEUED, List.of(), "those before it are placed or leave");
    }

    private static Reason pending(QuotaBlock h, Record r) {
        Kind kind =
                h.scope() == QuotaScope.OWNER
                        ? Kind.OWNER_QUOTA
                        : h.scope() == QuotaScope.TENANT ? Kind.TENANT_QUOTA : Kind.OVERLOADED;
        String ends =
                h.untilMicros() < Long.MAX_VALUE / 8
                        ? "time passes: the limit counts by the second"
                        : kind == Kind.OWNER_QUOTA
                                ? "a task of yours ends, or the limit is raised"
                                : kind == Kind.TENANT_QUOTA
                                        ? "a task of your tenant ends, or the limit is raised"
                                        : "a task of the site ends, or the limit is raised";
        double has = h.quota().equals("asks again") ? Double.NaN : h.usage();
        // a shared limit's use would tell of others' tasks
        return reason(
                kind,
                List.of(
                        new Evidence(
                                "limit of " + h.quota(),
                                kind == Kind.OWNER_QUOTA
                                        ? r.owner
                                        : kind == Kind.TENANT_QUOTA ? r.tenant : "",
                                0,
                                h.limit(),
                                kind == Kind.OWNER_QUOTA ? has : Double.NaN)),
                ends);
    }

    private Reason out(Record r) {
        if (links.applyAsLong(r.at) < 0) {
            return reason(
                    Kind.INDETERMINATE,
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
                Kind.AWAITING_RESPONSE,
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
        int[] counts = new int[FilterReason.values().length];
        String closest = "";
        double least = Double.POSITIVE_INFINITY;
        double lackCores = 0;
        double lackMemory = 0;
        int fits = 0;
        for (MachineStatus m : fleet.allMachines()) {
            if (m.state() != MachineState.READY) {
                continue;
            }
            double cores = Math.max(0, r.item.cores() - m.freeCores());
            double memory = Math.max(0, r.item.memory() - m.freeMemory());
            if (!ofKind(r, m)) {
                counts[FilterReason.WRONG_KIND.ordinal()]++;
            } else if (r.item.cores() > m.cores() || r.item.memory() > m.memory()) {
                counts[FilterReason.MACHINE_TOO_SMALL.ordinal()]++;
            } else if (m.unresponsive()) {
                counts[FilterReason.MACHINE_EJECTED.ordinal()]++;
            } else if (cores > 0 || memory > 0) {
                counts[
                        (cores > 0
                                        ? FilterReason.INSUFFICIENT_CORES
                                        : FilterReason.INSUFFICIENT_MEMORY)
                                .ordinal()]++;
                double lacks = Math.max(cores / m.cores(), memory / m.memory());
                if (lacks < least) {
                    least = lacks;
                    closest = m.name();
                    lackCores = cores;
                    lackMemory = memory;
                }
            } else {
                fits++;
            }
        }
        if (fits > 0) {
            return reason(
                    Kind.QUEUED,
                    List.of(new Evidence("nodes that may have room", fits)),
                    "it is asked for again");
        }
        return classify(
                r,
                new Pending(
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
    private Reason classify(Record r, Pending held) {
        List<Evidence> evidence = new ArrayList<>();
        add(evidence, "too small for it", reasonOf(held, FilterReason.MACHINE_TOO_SMALL));
        add(evidence, "of another kind than it needs", reasonOf(held, FilterReason.WRONG_KIND));
        int draining = 0;
        int gone = 0;
        List<String> drains = new ArrayList<>();
        List<String> away = new ArrayList<>();
        int known = 0;
        for (MachineStatus m : fleet.allMachines()) {
            known++;
            boolean could =
                    r.item.cores() <= m.cores() && r.item.memory() <= m.memory() && ofKind(r, m);
            if (could && m.state() == MachineState.DRAINING) {
                draining++;
                drains.add(m.name());
            } else if (could && m.state() == MachineState.GONE) {
                gone++;
                away.add(m.name());
            }
        }
        Map<Kind, Integer> counts = new LinkedHashMap<>();
        room(held, evidence, counts);
        refused(r, held, evidence, counts);
        failed(r, held, evidence, counts);
        count(
                counts,
                evidence,
                Kind.MACHINES_EJECTED,
                "silent or out of reach",
                reasonOf(held, FilterReason.MACHINE_EJECTED));
        count(
                counts,
                evidence,
                Kind.MACHINES_EJECTED,
                "leaves its class unanswered",
                reasonOf(held, FilterReason.CLASS_EJECTED));
        count(
                counts,
                evidence,
                Kind.INDETERMINATE,
                "not of the group where an earlier attempt may have run",
                reasonOf(held, FilterReason.OUTSIDE_KEY_SCOPE));
        count(
                counts,
                evidence,
                Kind.SPREAD_LIMIT,
                "as many of its service as may be",
                reasonOf(held, FilterReason.SPREAD_LIMIT));
        count(
                counts,
                evidence,
                Kind.WARMING_UP,
                "just started and given all the starts it bears",
                reasonOf(held, FilterReason.WARMING_UP));
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
                                    ? Kind.MACHINES_EJECTED
                                    : known == 0 ? Kind.NO_MACHINES : Kind.UNSATISFIABLE;
        }
        return reason(kind, evidence, ends(kind, held, drains, away));
    }

    private boolean ofKind(Record r, MachineStatus m) {
        String needed = needs.getOrDefault(r.item.taskClass(), "");
        return needed.isEmpty() || needed.equals(m.kind());
    }

    private static int reasonOf(Pending held, FilterReason cause) {
        return held.machinesByReason().get(cause.ordinal());
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

    private static void room(Pending held, List<Evidence> evidence, Map<Kind, Integer> counts) {
        count(
                counts,
                evidence,
                Kind.NO_CAPACITY,
                "not enough cores",
                reasonOf(held, FilterReason.INSUFFICIENT_CORES));
        count(
                counts,
                evidence,
                Kind.NO_CAPACITY,
                "not enough memory",
                reasonOf(held, FilterReason.INSUFFICIENT_MEMORY));
        if (!held.closestMachine().isEmpty()) {
            if (held.missingCores() > AMOUNT) {
                evidence.add(
                        new Evidence(
                                "closest, lacks cores",
                                held.closestMachine(),
                                1,
                                held.missingCores(),
                                Double.NaN));
            }
            if (held.missingMemory() > AMOUNT) {
                evidence.add(
                        new Evidence(
                                "closest, lacks memory",
                                held.closestMachine(),
                                1,
                                held.missingMemory(),
                                Double.NaN));
            }
        }
    }

    private void refused(
            Record r, Pending held, List<Evidence> evidence, Map<Kind, Integer> counts) {
        int refused = reasonOf(held, FilterReason.RECENTLY_REJECTED);
        int cores = 0;
        int memory = 0;
        String node = "";
        for (MachineStatus m : fleet.allMachines()) {
            if (m.state() == MachineState.READY
                    && (m.lastRejection() == RejectionReason.INSUFFICIENT_CORES
                            || m.lastRejection() == RejectionReason.INSUFFICIENT_MEMORY)) {
                cores += m.lastRejection() == RejectionReason.INSUFFICIENT_CORES ? 1 : 0;
                memory += m.lastRejection() == RejectionReason.INSUFFICIENT_MEMORY ? 1 : 0;
                node = m.name();
            }
        }
        if (refused > 0) {
            counts.merge(Kind.REJECTED, refused, Integer::sum);
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
                Kind.REJECTED,
                "refused: too many offers wait there",
                reasonOf(held, FilterReason.QUEUE_FULL));
    }

    /**
     * The machine that failed it last gets it no second time in a row: what it said decides the
     * kind.
     */
    private void failed(
            Record r, Pending held, List<Evidence> evidence, Map<Kind, Integer> counts) {
        if (reasonOf(held, FilterReason.PREVIOUS_ATTEMPT_FAILED) == 0) {
            return;
        }
        MachineStatus node = fleet.machine(r.failedAt);
        // what it said counts until it is listed as ready anew, or accepts something
        boolean drains =
                node != null
                        && (node.state() == MachineState.DRAINING
                                || r.said == RejectionReason.DRAINING
                                        && node.lastRejection() == RejectionReason.DRAINING);
        if (r.failed != AttemptOutcome.REJECTED) {
            counts.merge(Kind.MACHINES_EJECTED, 1, Integer::sum);
            evidence.add(
                    new Evidence(
                            "left the last offer unanswered, or broke off",
                            r.failedAt,
                            1,
                            Double.NaN,
                            Double.NaN));
        } else if (r.said == RejectionReason.KEY_HELD
                || r.said == RejectionReason.UNAVAILABLE && r.keyed) {
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
            counts.merge(Kind.REJECTED, 1, Integer::sum);
            evidence.add(
                    new Evidence(
                            "refused the last offer and gets it no second time in a row",
                            r.failedAt,
                            1,
                            Double.NaN,
                            Double.NaN));
        }
    }

    private static String ends(Kind kind, Pending held, List<String> drains, List<String> away) {
        return switch (kind) {
            case NO_CAPACITY ->
                    held.closestMachine().isEmpty()
                            ? "a task ends somewhere"
                            : "node "
                                    + held.closestMachine()
                                    + " frees "
                                    + amount(held.missingCores(), " cores", held.missingMemory())
                                    + ", or another as much";
            case UNSATISFIABLE -> "a node that is large enough, and of the kind it needs, joins";
            case REJECTED -> "a node that refused reports more room, or another has room";
            case MACHINES_EJECTED ->
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
            case SPREAD_LIMIT -> "a task of its service ends there";
            case WARMING_UP -> "the nodes have been up for longer";
            case NO_MACHINES -> "a node connects";
            case INDETERMINATE -> "a node of that group has room, or the key's window is over";
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
    public Explanation explain(long now, String owner, String task) {
        Record r = records.get(id(owner, task));
        if (r == null) {
            return new Explanation(owner, task, "", State.UNKNOWN, null, 0, 0, 0, List.of());
        }
        look(now, r);
        return new Explanation(
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
                || now.kind() != Kind.QUEUED
                || r.request == null
                || !now.evidence().isEmpty()) {
            return now;
        }
        int ahead = line.countAhead(r.request, AHEAD_MOST);
        return new Reason(
                now.kind(),
                now.sinceMicros(),
                List.of(new Evidence("tasks of your tenant before it", "", 0, Double.NaN, ahead)),
                now.endsWhen());
    }

    /** The reason of a request that waits, or null. */
    public Reason reasonOf(long now, String request) {
        Record r = byRequest.get(request);
        if (r != null) {
            look(now, r);
        }
        return r == null ? null : r.reason;
    }

    /**
     * One owner's waiting tasks, oldest first, {@code most} at the most; of all owners where null.
     */
    public List<Explanation> waiting(long now, String owner, int most) {
        List<Explanation> list = new ArrayList<>();
        for (Record r : waiting.values()) {
            if (list.size() >= most) {
                break;
            }
            if (owner == null || owner.equals(r.owner)) {
                list.add(explain(now, r.owner, r.task));
            }
        }
        return list;
    }

    /**
     * How many wait for each reason, by tenant; of one owner's, or of all where null. As of the
     * last look.
     */
    public Map<String, Map<Kind, Integer>> countByReason(String owner) {
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

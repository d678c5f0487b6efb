package thornferry.decisions.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * Which machines there are, in which life, and whether they may be offered anything: from
 * registrations, broken connections and drains to the machine list of {@link Placement}.
 *
 * <p>A machine is known by its name, and its lives by their incarnations. A connection that breaks
 * proves nothing about what runs there: the machine is taken off the list at once, since nothing
 * can be sent, but its tasks are given up only after {@link Limits#goneAfterMicros} or when a later
 * incarnation registers. Times are microseconds.
 */
public final class Membership {
    /**
     * @param goneAfterMicros a machine without a connection for so long is gone, and what ran there
     *     is lost
     * @param maxFlaps connections that a machine may lose within {@code flapWindowMicros} without
     *     being held out
     * @param flapWindowMicros see {@code maxFlaps}
     * @param quarantineMicros the first time for which a flapping machine gets nothing; doubles up
     *     to 16 times that
     * @param maxMachines machines known at once, gone ones among them
     */
    public record Limits(
            long goneAfterMicros,
            int maxFlaps,
            long flapWindowMicros,
            long quarantineMicros,
            int maxMachines) {
        public Limits {
            if (goneAfterMicros <= 0
                    || maxFlaps < 1
                    || flapWindowMicros <= 0
                    || quarantineMicros <= 0
                    || maxMachines < 1) {
                throw new IllegalArgumentException("membership limits must be above 0");
            }
        }
    }

    /**
     * What a machine says of itself. {@code uptimeMicros} since this incarnation started; free
     * figures count asks.
     */
    public record Registration(
            String machine,
            long incarnation,
            String kind,
            String zone,
            int cell,
            double cores,
            double memory,
            long uptimeMicros,
            double freeCores,
            double freeMemory) {}

    /** What is to be done; in the order given. */
    public sealed interface Action {}

    /** The module's list changed: hand it these lines. */
    public record MachinesChanged(List<MachineEntry> entries) implements Action {}

    /** End this connection, whose peer did what {@code reason} says. */
    public record CloseConnection(long connection, String reason) implements Action {}

    /** This life of the machine is over: whatever was placed or offered there is lost. */
    public record IncarnationEnded(String machine, long incarnation, String reason)
            implements Action {}

    /**
     * A machine long gone is known no longer: another took its place among those that may be known.
     */
    public record MachineForgotten(String machine) implements Action {}

    /** The machine is connected by this link, in this life; its inventory holds what it has. */
    public record MachineAdmitted(String machine, long incarnation, long connection)
            implements Action {}

    /** Tell the machine that it drains, or no longer does. */
    public record NotifyDrain(String machine, long connection, boolean draining)
            implements Action {}

    /**
     * A machine as an operator sees it; {@code note} says why it gets nothing, where it gets
     * nothing.
     */
    public record MachineView(
            String machine,
            long incarnation,
            String kind,
            String zone,
            String state,
            double cores,
            double memory,
            String note) {}

    private static final long NO_LINK = -1;

    /** Held out at most so many times the first time. */
    private static final int HELD_OUT_FACTOR = 16;

    /**
     * A tick later than this tells that we stood still; the time is then held against no machine.
     */
    private static final long TICK_LATE = 250_000;

    private static final class Machine {
        Registration is;
        long started;
        long link = NO_LINK;
        boolean draining;
        boolean over; // its life was given up
        long brokenAt;
        long registeredAt; // what it said of its room then is a reading at that moment only
        final List<Long> breaks = new ArrayList<>();
        long heldOutUntil = Long.MIN_VALUE;
        long heldOutFor;
        MachineState told = MachineState.GONE;
    }

    private final Limits limits;
    private final Map<String, Placement.MachineKind> kinds = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<Long, String> links = new LinkedHashMap<>();
    private long lastTick = Long.MIN_VALUE;

    public Membership(Limits limits, List<Placement.MachineKind> kinds) {
        this.limits = limits;
        kinds.forEach(k -> this.kinds.put(k.name(), k));
    }

    /** A machine registers on a connection; again on the same one, where it says so anew. */
    public void registered(long now, long link, Registration r, Consumer<Action> actions) {
        String wrong = wrong(r);
        Machine m = machines.get(r.machine());
        if (wrong == null && links.containsKey(link) && !links.get(link).equals(r.machine())) {
            wrong = "this connection is registered as another node";
        }
        if (wrong == null
                && m == null
                && machines.size() >= limits.maxMachines()
                && !forgetOne(actions)) {
            wrong = "the placer knows as many nodes as it may: " + limits.maxMachines();
        }
        if (wrong == null && m != null && r.incarnation() < m.is.incarnation()) {
            // guards against a process thought dead that wakes after its successor has registered
            wrong = "incarnation " + r.incarnation() + " is older than " + m.is.incarnation();
        }
        if (wrong != null) {
            actions.accept(new CloseConnection(link, wrong));
            return;
        }
        if (m == null) {
            m = new Machine();
            machines.put(r.machine(), m);
        } else if (m.link != link && m.link != NO_LINK) {
            // connected twice: the newer connection counts, for the older may be half-open without
            // our knowing
            long old = m.link;
            unlink(now, m);
            actions.accept(new CloseConnection(old, "registered again on another connection"));
        }
        if (m.is != null && r.incarnation() > m.is.incarnation()) {
            if (!m.over) {
                actions.accept(
                        new IncarnationEnded(
                                r.machine(), m.is.incarnation(), "it has started anew"));
            }
            m.is = null;
        }
        if (m.is == null) {
            // kept for the whole life: a start that seemed to move would look like a restart to the
            // module
            m.started = Math.max(1, now - r.uptimeMicros());
        }
        m.is = r;
        m.registeredAt = now;
        m.over = false;
        m.link = link;
        links.put(link, r.machine());
        actions.accept(new MachineAdmitted(r.machine(), r.incarnation(), link));
        if (m.draining) {
            actions.accept(new NotifyDrain(r.machine(), link, true));
        }
        tell(now, m, actions);
    }

    private String wrong(Registration r) {
        Placement.MachineKind kind = kinds.get(r.kind());
        if (r.machine().isEmpty() || r.machine().length() > 128) {
            return "a node's name has 1 to 128 characters";
        } else if (r.zone().isEmpty()) {
            return "node " + r.machine() + " names no zone";
        } else if (kind == null) {
            return "kind "
                    + r.kind()
                    + " is not configured; known: "
                    + String.join(", ", kinds.keySet());
        } else if (Math.abs(r.cores() - kind.cores()) > 1e-6
                || Math.abs(r.memory() - kind.memory()) > 1e-6) {
            return "kind "
                    + r.kind()
                    + " is configured with "
                    + kind.cores()
                    + " cores and "
                    + kind.memory()
                    + " memory, not "
                    + r.cores()
                    + " and "
                    + r.memory();
        } else if (r.uptimeMicros() < 0
                || !Double.isFinite(r.freeCores())
                || !Double.isFinite(r.freeMemory())) {
            return "uptime and load must be numbers, uptime not below 0";
        }
        return null;
    }

    /**
     * Room for another by forgetting one that is gone and not being drained; false where there is
     * none.
     */
    private boolean forgetOne(Consumer<Action> actions) {
        String gone =
                machines.entrySet().stream()
                        .filter(e -> e.getValue().over && !e.getValue().draining)
                        .map(Map.Entry::getKey)
                        .findFirst()
                        .orElse(null);
        if (gone == null) {
            return false;
        }
        machines.remove(gone);
        actions.accept(new MachineForgotten(gone));
        return true;
    }

    /**
     * A connection is over, whoever ended it. Unknown ones are ignored: they never registered, or
     * were replaced.
     */
    public void connectionClosed(long now, long link, Consumer<Action> actions) {
        String name = links.get(link);
        if (name != null) {
            Machine m = machines.get(name);
            unlink(now, m);
            tell(now, m, actions);
        }
    }

    private void unlink(long now, Machine m) {
        links.remove(m.link);
        m.link = NO_LINK;
        m.brokenAt = now;
        m.breaks.add(now);
        m.breaks.removeIf(at -> at <= now - limits.flapWindowMicros());
        if (m.breaks.size() > limits.maxFlaps()) {
            // guards against a machine whose link comes and goes: each return would draw offers
            // that then hang
            boolean calm = now > m.heldOutUntil + limits.flapWindowMicros();
            m.heldOutFor =
                    calm
                            ? limits.quarantineMicros()
                            : Math.min(
                                    limits.quarantineMicros() * HELD_OUT_FACTOR, m.heldOutFor * 2);
            m.heldOutUntil = now + m.heldOutFor;
            m.breaks.clear();
        }
    }

    /**
     * Starts or ends a drain; false where no such machine is known. A drain outlasts connections
     * and lives.
     */
    public boolean drain(long now, String machine, boolean on, Consumer<Action> actions) {
        Machine m = machines.get(machine);
        if (m == null) {
            return false;
        }
        m.draining = on;
        tell(now, m, actions); // first the module, so that nothing new is offered after this moment
        if (m.link != NO_LINK) {
            actions.accept(new NotifyDrain(machine, m.link, on));
        }
        return true;
    }

    /** Time passes; to be called several times a second. */
    public void tick(long now, Consumer<Action> actions) {
        long late = lastTick == Long.MIN_VALUE ? 0 : now - lastTick;
        lastTick = now;
        for (Map.Entry<String, Machine> e : machines.entrySet()) {
            Machine m = e.getValue();
            if (late > TICK_LATE && m.link == NO_LINK) {
                m.brokenAt +=
                        late; // guards against condemning all at once after a pause of our own
            }
            if (m.link == NO_LINK && !m.over && now - m.brokenAt > limits.goneAfterMicros()) {
                m.over = true;
                actions.accept(
                        new IncarnationEnded(
                                e.getKey(),
                                m.is.incarnation(),
                                "not heard of for " + limits.goneAfterMicros() / 1_000 + " ms"));
            }
            tell(now, m, actions);
        }
    }

    private void tell(long now, Machine m, Consumer<Action> actions) {
        MachineState state =
                m.link == NO_LINK || now < m.heldOutUntil
                        ? MachineState.GONE
                        : m.draining ? MachineState.DRAINING : MachineState.READY;
        if (state != m.told) {
            m.told = state;
            Registration r = m.is;
            // guards against a drain that ends long after: the module takes what the list shows for
            // a reading
            boolean fresh = now == m.registeredAt;
            actions.accept(
                    new MachinesChanged(
                            List.of(
                                    new MachineEntry(
                                            r.machine(),
                                            r.zone(),
                                            r.kind(),
                                            r.cell(),
                                            state,
                                            fresh ? r.freeCores() : Double.NaN,
                                            fresh ? r.freeMemory() : Double.NaN,
                                            1,
                                            m.started))));
        }
    }

    /** The link of a machine, or -1 where it has none. */
    public long connectionOf(String machine) {
        Machine m = machines.get(machine);
        return m == null ? NO_LINK : m.link;
    }

    /** Whether the machine may be offered something at this moment, as the module was told last. */
    public boolean ready(String machine) {
        Machine m = machines.get(machine);
        return m != null && m.told == MachineState.READY;
    }

    /** The present incarnation of a machine, or -1 where it is not known. */
    public long incarnation(String machine) {
        Machine m = machines.get(machine);
        return m == null ? -1 : m.is.incarnation();
    }

    /** The machine registered on this link, or null. */
    public String machineOf(long link) {
        return links.get(link);
    }

    public List<MachineView> view(long now) {
        List<MachineView> views = new ArrayList<>();
        machines.forEach(
                (name, m) -> {
                    String state =
                            m.link == NO_LINK
                                    ? "gone"
                                    : m.draining
                                            ? "draining"
                                            : now < m.heldOutUntil ? "held-out" : "ready";
                    String note =
                            m.link == NO_LINK
                                    ? "no connection for "
                                            + (now - m.brokenAt) / 1_000_000
                                            + " s"
                                            + (m.draining ? ", drains" : "")
                                    : now < m.heldOutUntil
                                            ? "its connection came and went too often; held out for"
                                                    + " "
                                                    + (m.heldOutUntil - now) / 1_000_000
                                                    + " s more"
                                            : "";
                    views.add(
                            new MachineView(
                                    name,
                                    m.is.incarnation(),
                                    m.is.kind(),
                                    m.is.zone(),
                                    state,
                                    m.is.cores(),
                                    m.is.memory(),
                                    note));
                });
        return views;
    }
}

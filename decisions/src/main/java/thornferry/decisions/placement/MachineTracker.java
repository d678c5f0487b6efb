package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.Settings;

/** The machines that this placer knows, updated from the endpoint list and from load reports. */
final class MachineTracker {
    /** A load report misses what was sent less than this before it: its refresh and the delay. */
    static final long REPORT_LAG_MICROS = 1100 * Micros.MILLISECOND;

    /** The same for an entry of the endpoint list. */
    private static final long LIST_LAG_MICROS = 2500 * Micros.MILLISECOND;

    private final Settings settings;
    private final EventContext context;
    private final ServiceAffinity affinity;
    private final Map<String, TrackedMachine> machines = new LinkedHashMap<>();
    private final List<TrackedMachine> readyMachines = new ArrayList<>();

    MachineTracker(Settings settings, EventContext context, ServiceAffinity affinity) {
        this.settings = settings;
        this.context = context;
        this.affinity = affinity;
    }

    /** The machine of this id, null if it is not known. */
    TrackedMachine find(String id) {
        return machines.get(id);
    }

    TrackedMachine findOrAdd(String id) {
        return machines.computeIfAbsent(id, TrackedMachine::new);
    }

    /** The machines that are listed as ready, in the order in which they became known. */
    List<TrackedMachine> ready() {
        return readyMachines;
    }

    Collection<TrackedMachine> all() {
        return machines.values();
    }

    /**
     * Whether there are more placers than machines, so that this one sees little of each machine
     * and learns only by chance where programs run.
     */
    boolean outnumberedByPlacers() {
        return settings.instanceCount() > machines.size();
    }

    /** Takes the entries of a list message that did not fail. */
    void updateList(MachineListUpdated event) {
        if (event.kind() != ListUpdateKind.DELTA) {
            // A machine that a full list lacks is gone, though no entry says so.
            machines.values().forEach(machine -> machine.markAbsent(context.nowMicros()));
        }
        event.entries().forEach(this::updateEntry);
        readyMachines.clear();
        for (TrackedMachine machine : machines.values()) {
            if (machine.isReady()) {
                readyMachines.add(machine);
            }
        }
    }

    private void updateEntry(MachineEntry entry) {
        TrackedMachine machine = findOrAdd(entry.machine());
        boolean restarted = machine.updateEntry(entry, context.nowMicros());
        List<MachineKind> kinds = settings.machineKinds();
        for (MachineKind kind : kinds) {
            if (kind.name().equals(entry.kind())) {
                machine.setKind(kinds.indexOf(kind), kind.cores(), kind.memory());
            }
        }
        if (entry.startedAtMicros() > 0) {
            machine.extendSlowStart(entry.startedAtMicros() + settings.rules().slowStartMicros());
        }
        if (restarted) {
            machine.health().reset();
            machine.load().dropChangesBefore(Long.MAX_VALUE);
            affinity.forgetIdle(machine);
            machine.load().forgetSamples();
        }
        if (listReplacesReports(machine)) {
            machine.load()
                    .sampleFreeCapacity(
                            entry.freeCores(),
                            entry.freeMemory(),
                            context.nowMicros(),
                            LIST_LAG_MICROS);
        }
    }

    /** Whether the list's free capacity is the best sample that there is of the machine. */
    private boolean listReplacesReports(TrackedMachine machine) {
        MachineLoad load = machine.load();
        return settings.listShowsFreeCapacity()
                && (settings.loadReportMode() == LoadReportMode.NONE
                        || !load.hasSample()
                        || load.uncoveredSinceMicros() < context.nowMicros() - LIST_LAG_MICROS);
    }

    /** Takes a load report, which is null where the machine sent none. */
    void recordReport(TrackedMachine machine, LoadReport report) {
        if (report == null) {
            return;
        }
        MachineLoad load = machine.load();
        load.sampleFreeCapacity(
                report.freeCores(), report.freeMemory(), context.nowMicros(), REPORT_LAG_MICROS);
        load.busyFraction().update(report.busyFraction());
        load.queueLength().update(report.queueLength());
    }

    /**
     * Forgets machines that are gone for longer than any ejection lasts, so that one that comes
     * back soon is still known.
     */
    void prune() {
        long goneBeforeMicros = context.nowMicros() - MachineHealth.MAX_CLASS_EJECTION_MICROS;
        machines.values()
                .removeIf(
                        machine ->
                                machine.goneSinceMicros() < goneBeforeMicros
                                        && !affinity.isReferenced(machine));
    }
}

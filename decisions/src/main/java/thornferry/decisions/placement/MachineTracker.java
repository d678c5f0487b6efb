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

/** The machines that this placer knows, as shown by the endpoint list and by load reports. */
final class MachineTracker {
    /**
     * The age of a load report: tasks that were sent less than this time before its arrival are
     * missing. It covers the refresh interval of reports and the network delay.
     */
    static final long REPORT_LAG_MICROS = 1100 * Micros.MILLISECOND;

    /** The age of an entry of the endpoint list at its arrival. */
    private static final long LIST_LAG_MICROS = 2500 * Micros.MILLISECOND;

    private final Settings settings;
    private final EventContext context;
    private final ServiceAffinity affinity;
    private final Map<String, TrackedMachine> machinesById = new LinkedHashMap<>();
    private final List<TrackedMachine> readyMachines = new ArrayList<>();

    MachineTracker(Settings settings, EventContext context, ServiceAffinity affinity) {
        this.settings = settings;
        this.context = context;
        this.affinity = affinity;
    }

    /** Returns the machine with this id, or null if it is not known. */
    TrackedMachine find(String id) {
        return machinesById.get(id);
    }

    TrackedMachine findOrAdd(String id) {
        return machinesById.computeIfAbsent(id, TrackedMachine::new);
    }

    /** Returns the machines that are listed as ready, in the order in which they became known. */
    List<TrackedMachine> readyMachines() {
        return readyMachines;
    }

    Collection<TrackedMachine> allMachines() {
        return machinesById.values();
    }

    /**
     * Returns whether there are more placers than machines. In that case this placer has few tasks
     * on each machine and rarely knows where programs run.
     */
    boolean isOutnumberedByPlacers() {
        return settings.instanceCount() > machinesById.size();
    }

    /** Updates the machines from the entries of a list message whose kind is not FAILED. */
    void updateList(MachineListUpdated event) {
        if (event.kind() != ListUpdateKind.DELTA) {
            // A machine that is missing from a full list is gone, though no entry says so.
            machinesById.values().forEach(machine -> machine.markAbsent(context.nowMicros()));
        }
        event.entries().forEach(this::updateEntry);
        readyMachines.clear();
        for (TrackedMachine machine : machinesById.values()) {
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
            affinity.removeIdleServices(machine);
            machine.load().clearSamples();
        }
        if (isListNewerThanReports(machine)) {
            machine.load()
                    .sampleFreeCapacity(
                            entry.freeCores(),
                            entry.freeMemory(),
                            context.nowMicros(),
                            LIST_LAG_MICROS);
        }
    }

    /**
     * Returns whether the free capacity in the list is newer than any load report of the machine.
     */
    private boolean isListNewerThanReports(TrackedMachine machine) {
        MachineLoad load = machine.load();
        return settings.listShowsFreeCapacity()
                && (settings.loadReportMode() == LoadReportMode.NONE
                        || !load.hasSample()
                        || load.latestSampleMicros() < context.nowMicros() - LIST_LAG_MICROS);
    }

    /** Updates the machine's load from a report, which is null if the machine sent none. */
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
     * Removes machines that have been gone for longer than any ejection lasts. A machine that
     * returns sooner keeps its state.
     */
    void prune() {
        long goneBeforeMicros = context.nowMicros() - MachineHealth.MAX_CLASS_EJECTION_MICROS;
        machinesById
                .values()
                .removeIf(
                        machine ->
                                machine.goneSinceMicros() < goneBeforeMicros
                                        && !affinity.isReferenced(machine));
    }
}

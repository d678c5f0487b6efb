package thornferry.decisions.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * What has been seen of the machines, for the line and for reasons: state, size, the last report of
 * room and the last refusal. Observed beside the module and never asked by it: where a task goes is
 * not decided here. Microseconds.
 */
public final class ClusterView {
    private final Map<String, MachineKind> kinds = new HashMap<>();
    private final Map<String, MachineStatus> machines = new LinkedHashMap<>();
    private long version;
    private boolean roomCame;
    private double largestCores;
    private double largestMemory;
    private double totalCores;
    private double totalMemory;

    public ClusterView(List<MachineKind> kinds) {
        kinds.forEach(k -> this.kinds.put(k.name(), k));
    }

    /** The same lines as the module's list. */
    public void update(List<MachineEntry> lines) {
        for (MachineEntry line : lines) {
            MachineStatus m = machines.computeIfAbsent(line.machine(), MachineStatus::new);
            MachineKind kind = kinds.get(line.kind());
            m.kind = line.kind();
            m.cores = kind == null ? 0 : kind.cores();
            m.memory = kind == null ? 0 : kind.memory();
            if (m.state != MachineState.READY && line.state() == MachineState.READY) {
                m.freeCores = line.freeCores();
                m.freeMemory = line.freeMemory();
                m.lastRejection = RejectionReason.NONE;
                m.unresponsive = false;
                roomCame = true;
            }
            m.state = line.state();
        }
        version++;
        largestCores = 0;
        largestMemory = 0;
        totalCores = 0;
        totalMemory = 0;
        for (MachineStatus m : machines.values()) {
            if (m.state == MachineState.READY) {
                largestCores = Math.max(largestCores, m.cores);
                largestMemory = Math.max(largestMemory, m.memory);
                totalCores += m.cores;
                totalMemory += m.memory;
            }
        }
    }

    /** A machine that membership has forgotten. */
    public void remove(String machine) {
        if (machines.remove(machine) != null) {
            update(List.of());
        }
    }

    /** A report of room, with an answer or a probe's reply. */
    public void loadReported(String machine, double coresFree, double memoryFree) {
        MachineStatus m = machines.get(machine);
        if (m == null || !Double.isFinite(coresFree + memoryFree)) {
            return;
        }
        roomCame |= coresFree > m.freeCores || memoryFree > m.freeMemory;
        m.freeCores = coresFree;
        m.freeMemory = memoryFree;
        m.unresponsive = false;
        version++;
    }

    public void rejected(String machine, RejectionReason why) {
        MachineStatus m = machines.get(machine);
        if (m != null) {
            m.lastRejection = why;
            m.unresponsive = false;
            version++;
        }
    }

    /** It accepted something: what it refused before no longer describes it. */
    public void accepted(String machine) {
        MachineStatus m = machines.get(machine);
        if (m != null && (m.lastRejection != RejectionReason.NONE || m.unresponsive)) {
            m.lastRejection = RejectionReason.NONE;
            m.unresponsive = false;
            version++;
        }
    }

    /** An attempt there was left unanswered or broke off. */
    public void unresponsive(String machine) {
        MachineStatus m = machines.get(machine);
        if (m != null) {
            m.unresponsive = true;
            version++;
        }
    }

    /**
     * Whether a ready machine shows so much room; its report may be old, so this is a hint, not an
     * answer.
     */
    public boolean hasCapacity(double cores, double memory) {
        for (MachineStatus m : machines.values()) {
            if (m.state == MachineState.READY && m.freeCores >= cores && m.freeMemory >= memory) {
                return true;
            }
        }
        return false;
    }

    /** Whether any known machine is as large as that. */
    public boolean couldEverFit(double cores, double memory) {
        for (MachineStatus m : machines.values()) {
            if (m.cores >= cores && m.memory >= memory) {
                return true;
            }
        }
        return false;
    }

    /** Whether room has come since this was asked last. */
    public boolean takeCapacityGained() {
        boolean came = roomCame;
        roomCame = false;
        return came;
    }

    /** Whether the task is a large one: this part of the largest ready machine. */
    public boolean isLarge(double cores, double memory, double part) {
        return part < 1
                && (cores >= part * largestCores && largestCores > 0
                        || memory >= part * largestMemory && largestMemory > 0);
    }

    /** The larger of the parts of all ready machines; of 1 where there are none. */
    public double dominantShare(double cores, double memory) {
        return Math.max(cores / Math.max(1, totalCores), memory / Math.max(1, totalMemory));
    }

    public long version() {
        return version;
    }

    public List<MachineStatus> allMachines() {
        return new ArrayList<>(machines.values());
    }

    public MachineStatus machine(String name) {
        return machines.get(name);
    }
}

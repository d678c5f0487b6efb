package thornferry.decisions.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;

/**
 * Read model of the cluster for the admission queue and the diagnosis of pending tasks: state and
 * size of each machine, its last load report and its last rejection.
 *
 * <p>It is maintained beside the placement policy and never consulted by it: no placement is
 * decided here. Cores and memory are in the units of the task specifications.
 */
public final class ClusterView {
    private final Map<String, MachineKind> kinds = new HashMap<>();
    private final Map<String, MachineStatus> machines = new LinkedHashMap<>();
    private long version;
    private boolean capacityGained;
    private double largestCores;
    private double largestMemory;
    private double totalCores;
    private double totalMemory;

    /** A view without machines; {@code kinds} are the configured machine kinds. */
    public ClusterView(List<MachineKind> kinds) {
        kinds.forEach(kind -> this.kinds.put(kind.name(), kind));
    }

    /** Applies changed entries of the machine list, the same as the placement policy receives. */
    public void update(List<MachineEntry> entries) {
        for (MachineEntry entry : entries) {
            MachineStatus machine = machines.computeIfAbsent(entry.machine(), MachineStatus::new);
            machine.setKind(entry.kind(), kinds.get(entry.kind()));
            capacityGained |= machine.updateState(entry);
        }
        version++;
        recomputeTotals();
    }

    private void recomputeTotals() {
        largestCores = 0;
        largestMemory = 0;
        totalCores = 0;
        totalMemory = 0;
        for (MachineStatus machine : machines.values()) {
            if (machine.isReady()) {
                largestCores = Math.max(largestCores, machine.cores());
                largestMemory = Math.max(largestMemory, machine.memory());
                totalCores += machine.cores();
                totalMemory += machine.memory();
            }
        }
    }

    /** Removes a machine that membership has forgotten; does nothing if it is not listed. */
    public void remove(String machine) {
        if (machines.remove(machine) != null) {
            version++;
            recomputeTotals();
        }
    }

    /**
     * Applies a load report, received with a response or a health check. Ignored for a machine that
     * is not listed, or where a figure is not finite.
     */
    public void loadReported(String machine, double coresFree, double memoryFree) {
        MachineStatus status = machines.get(machine);
        if (status == null || !Double.isFinite(coresFree + memoryFree)) {
            return;
        }
        capacityGained |= coresFree > status.freeCores() || memoryFree > status.freeMemory();
        status.setFreeCapacity(coresFree, memoryFree);
        version++;
    }

    /** Records that the machine rejected an offer. */
    public void rejected(String machine, RejectionReason reason) {
        MachineStatus status = machines.get(machine);
        if (status != null) {
            status.setRejected(reason);
            version++;
        }
    }

    /** Records that the machine accepted an offer: an earlier rejection no longer describes it. */
    public void accepted(String machine) {
        MachineStatus status = machines.get(machine);
        if (status != null
                && (status.lastRejection() != RejectionReason.NONE || status.unresponsive())) {
            status.setAccepted();
            version++;
        }
    }

    /** Records that an attempt at the machine timed out, or that the connection broke during it. */
    public void unresponsive(String machine) {
        MachineStatus status = machines.get(machine);
        if (status != null) {
            status.setUnresponsive();
            version++;
        }
    }

    /**
     * Whether a ready machine reported this much free capacity. A hint only, since the report may
     * be out of date.
     */
    public boolean hasCapacity(double cores, double memory) {
        for (MachineStatus machine : machines.values()) {
            if (machine.isReady()
                    && machine.freeCores() >= cores
                    && machine.freeMemory() >= memory) {
                return true;
            }
        }
        return false;
    }

    /** Whether any listed machine, in whatever state, is that large in total. */
    public boolean couldEverFit(double cores, double memory) {
        for (MachineStatus machine : machines.values()) {
            if (machine.cores() >= cores && machine.memory() >= memory) {
                return true;
            }
        }
        return false;
    }

    /** Whether free capacity has grown anywhere since the last call; resets the mark. */
    public boolean takeCapacityGained() {
        boolean gained = capacityGained;
        capacityGained = false;
        return gained;
    }

    /**
     * Whether a task is large: it needs at least {@code fraction} of the largest ready machine's
     * cores or memory. No task is large for a fraction of 1 or more.
     */
    public boolean isLarge(double cores, double memory, double fraction) {
        return fraction < 1
                && ((cores >= fraction * largestCores && largestCores > 0)
                        || (memory >= fraction * largestMemory && largestMemory > 0));
    }

    /**
     * Dominant share of the amounts: the larger of the fractions of all ready machines' cores and
     * memory, as in Ghodsi et al., "Dominant Resource Fairness", NSDI 2011. Totals below 1 count as
     * 1.
     */
    public double dominantShare(double cores, double memory) {
        return Math.max(cores / Math.max(1, totalCores), memory / Math.max(1, totalMemory));
    }

    /** A number that grows with each change that a reader could see. */
    public long version() {
        return version;
    }

    /** All listed machines in the order of their first appearance. */
    public List<MachineStatus> allMachines() {
        return new ArrayList<>(machines.values());
    }

    /** The machine of that name, or null if it is not listed. */
    public MachineStatus machine(String name) {
        return machines.get(name);
    }
}

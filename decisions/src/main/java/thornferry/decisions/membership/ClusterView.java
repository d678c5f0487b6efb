package thornferry.decisions.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;

/**
 * The read model of the cluster for the admission queue and the diagnosis of pending tasks: the
 * state and the size of each machine, its last load report and its last rejection.
 *
 * <p>The view is maintained separately from the placement policy, which does not use it. Cores and
 * memory are in the units of the task specifications.
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

    /** Creates a view without machines; {@code kinds} are the configured machine kinds. */
    public ClusterView(List<MachineKind> kinds) {
        kinds.forEach(kind -> this.kinds.put(kind.name(), kind));
    }

    /**
     * Applies changed entries of the machine list. The placement policy receives the same entries.
     */
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

    /**
     * Removes a machine that membership no longer keeps; does nothing if the machine is not listed.
     */
    public void remove(String machine) {
        if (machines.remove(machine) != null) {
            version++;
            recomputeTotals();
        }
    }

    /**
     * Applies a load report that a response or a health check contained. A report is ignored if the
     * machine is not listed or an amount is not finite.
     */
    public void recordLoadReport(String machine, double coresFree, double memoryFree) {
        MachineStatus status = machines.get(machine);
        if (status == null || !Double.isFinite(coresFree + memoryFree)) {
            return;
        }
        capacityGained |= coresFree > status.freeCores() || memoryFree > status.freeMemory();
        status.setFreeCapacity(coresFree, memoryFree);
        version++;
    }

    /** Records that the machine rejected an offer. */
    public void recordRejection(String machine, RejectionReason reason) {
        MachineStatus status = machines.get(machine);
        if (status != null) {
            status.setRejected(reason);
            version++;
        }
    }

    /** Records that the machine accepted an offer, and clears its last rejection. */
    public void recordAcceptance(String machine) {
        MachineStatus status = machines.get(machine);
        if (status != null
                && (status.lastRejection() != RejectionReason.NONE || status.isUnresponsive())) {
            status.setAccepted();
            version++;
        }
    }

    /**
     * Records that an attempt on the machine timed out, or that the connection was lost during the
     * attempt.
     */
    public void recordUnresponsive(String machine) {
        MachineStatus status = machines.get(machine);
        if (status != null) {
            status.setUnresponsive();
            version++;
        }
    }

    /**
     * Returns whether some ready machine reported at least this much free capacity. The result is
     * only a hint, since reports may be out of date.
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

    /**
     * Returns whether the total size of some listed machine, in any state, suffices for these
     * amounts.
     */
    public boolean fitsSomeMachine(double cores, double memory) {
        for (MachineStatus machine : machines.values()) {
            if (machine.cores() >= cores && machine.memory() >= memory) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the free capacity of some machine has grown since the last call of this
     * method, and resets that flag.
     */
    public boolean takeCapacityGained() {
        boolean gained = capacityGained;
        capacityGained = false;
        return gained;
    }

    /**
     * Returns whether a task is large, which means that it needs at least {@code fraction} of the
     * most cores or the most memory of any ready machine. With a fraction of 1 or more, no task is
     * large.
     */
    public boolean isLarge(double cores, double memory, double fraction) {
        return fraction < 1
                && ((cores >= fraction * largestCores && largestCores > 0)
                        || (memory >= fraction * largestMemory && largestMemory > 0));
    }

    /**
     * Returns the dominant share of the amounts: the larger of the fractions of all ready machines'
     * cores and memory, as in Ghodsi et al., "Dominant Resource Fairness", NSDI 2011. Totals below
     * 1 count as 1.
     */
    public double dominantShare(double cores, double memory) {
        return Math.max(cores / Math.max(1, totalCores), memory / Math.max(1, totalMemory));
    }

    /**
     * Returns the version of this view, a number that increases with each change that a reader
     * could see.
     */
    public long version() {
        return version;
    }

    /** Returns all listed machines in the order in which they were first listed. */
    public List<MachineStatus> allMachines() {
        return new ArrayList<>(machines.values());
    }

    /** Returns the machine of that name, or null if it is not listed. */
    public MachineStatus findMachine(String name) {
        return machines.get(name);
    }
}

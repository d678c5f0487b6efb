package thornferry.decisions.membership;

import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * The last observed status of one machine. Only {@link ClusterView} updates the status; other
 * classes hold references to the same instance and so see later updates.
 */
public final class MachineStatus {
    private final String name;
    private String kind = "";
    private MachineState state = MachineState.GONE;
    private double cores;
    private double memory;
    private double freeCores;
    private double freeMemory;
    private RejectionReason lastRejection = RejectionReason.NONE;
    private boolean unresponsive;

    MachineStatus(String name) {
        this.name = name;
    }

    /** Returns the name of the machine. */
    public String name() {
        return name;
    }

    /** Returns the name of the machine's kind; empty before the first list entry. */
    public String kind() {
        return kind;
    }

    /** Returns the state of the machine in the machine list. */
    public MachineState state() {
        return state;
    }

    /** Returns whether the machine is listed as ready for offers. */
    public boolean isReady() {
        return state == MachineState.READY;
    }

    /** Returns the total cores of the machine's kind; 0 if the kind is not configured. */
    public double cores() {
        return cores;
    }

    /** Returns the total memory of the machine's kind; 0 if the kind is not configured. */
    public double memory() {
        return memory;
    }

    /**
     * Returns the cores that were free at the last load report; NaN if the machine became ready
     * without a report.
     */
    public double freeCores() {
        return freeCores;
    }

    /**
     * Returns the memory that was free at the last load report; NaN if the machine became ready
     * without a report.
     */
    public double freeMemory() {
        return freeMemory;
    }

    /**
     * Returns the reason of the last rejection; {@link RejectionReason#NONE} once the machine has
     * accepted an offer or has become ready again. A load report does not reset the reason.
     */
    public RejectionReason lastRejection() {
        return lastRejection;
    }

    /**
     * Returns whether the machine has not answered an offer, or its connection was lost during an
     * attempt, and the machine has sent no response or load report since.
     */
    public boolean isUnresponsive() {
        return unresponsive;
    }

    /** Sets kind and size; {@code size} is null for a kind that is not configured. */
    void setKind(String kindName, MachineKind size) {
        kind = kindName;
        cores = size == null ? 0 : size.cores();
        memory = size == null ? 0 : size.memory();
    }

    /**
     * Applies the state of a list entry and, on the transition to READY, its free capacity.
     *
     * @return whether the machine has become ready
     */
    boolean updateState(MachineEntry entry) {
        boolean becomesReady = !isReady() && entry.state() == MachineState.READY;
        if (becomesReady) {
            setFreeCapacity(entry.freeCores(), entry.freeMemory());
            setAccepted();
        }
        state = entry.state();
        return becomesReady;
    }

    void setFreeCapacity(double newFreeCores, double newFreeMemory) {
        freeCores = newFreeCores;
        freeMemory = newFreeMemory;
        unresponsive = false;
    }

    void setRejected(RejectionReason reason) {
        lastRejection = reason;
        unresponsive = false;
    }

    /** Clears the last rejection and the unresponsive flag. */
    void setAccepted() {
        lastRejection = RejectionReason.NONE;
        unresponsive = false;
    }

    void setUnresponsive() {
        unresponsive = true;
    }
}

package thornferry.decisions.membership;

import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * Last observed status of one machine. Owned and updated by {@link ClusterView}; everybody else
 * only reads it, and sees later updates.
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

    /** Name of the machine. */
    public String name() {
        return name;
    }

    /** Name of the machine's kind; empty before the first list entry. */
    public String kind() {
        return kind;
    }

    /** State in the machine list. */
    public MachineState state() {
        return state;
    }

    /** Whether the machine is listed as ready for offers. */
    public boolean isReady() {
        return state == MachineState.READY;
    }

    /** Total cores of the machine's kind; 0 if the kind is not configured. */
    public double cores() {
        return cores;
    }

    /** Total memory of the machine's kind; 0 if the kind is not configured. */
    public double memory() {
        return memory;
    }

    /** Cores free at the last load report; NaN if the machine joined without a report. */
    public double freeCores() {
        return freeCores;
    }

    /** Memory free at the last load report; NaN if the machine joined without a report. */
    public double freeMemory() {
        return freeMemory;
    }

    /**
     * Reason of the last rejection; {@link RejectionReason#NONE} once the machine has accepted an
     * offer or has become ready again. A load report does not reset it.
     */
    public RejectionReason lastRejection() {
        return lastRejection;
    }

    /**
     * Whether the machine has left an offer unanswered, or the connection broke during one, and has
     * sent no response or load report since.
     */
    public boolean unresponsive() {
        return unresponsive;
    }

    /** Sets kind and size; {@code size} is null for a kind that is not configured. */
    void setKind(String kindName, MachineKind size) {
        kind = kindName;
        cores = size == null ? 0 : size.cores();
        memory = size == null ? 0 : size.memory();
    }

    /**
     * Takes over state and, on the transition to READY, free capacity from a list entry.
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

    /** Clears the last rejection and the mark of an unresponsive machine. */
    void setAccepted() {
        lastRejection = RejectionReason.NONE;
        unresponsive = false;
    }

    void setUnresponsive() {
        unresponsive = true;
    }
}

package thornferry.decisions.membership;

import thornferry.decisions.placement.Placement.MachineState;

/** One machine; {@code out} where it has no connection or is held out, microseconds. */
public final class MachineStatus {
    public final String name;
    public String kind = "";
    public MachineState state = MachineState.GONE;
    public double cores;
    public double memory;
    public double freeCores;
    public double freeMemory;
    public RejectionReason lastRejection =
            RejectionReason.NONE; // not taken back by a reading since
    public boolean
            unresponsive; // it left an offer unanswered, or was out of reach, and has not answered

    // since

    MachineStatus(String name) {
        this.name = name;
    }
}

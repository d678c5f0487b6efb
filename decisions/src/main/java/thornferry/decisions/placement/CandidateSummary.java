package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.List;
import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.Pending;

/** The result of filtering the ready machines for one task. */
final class CandidateSummary {
    private static final int REASON_COUNT = FilterReason.values().length;

    private final List<TrackedMachine> eligible;
    private final int[] machinesByReason = new int[REASON_COUNT];
    private TrackedMachine closest;
    private double closestShortage;
    private double missingCores;
    private double missingMemory;

    CandidateSummary(int readyMachines) {
        eligible = new ArrayList<>(readyMachines);
    }

    /** The machines that passed every filter. The caller may reorder them. */
    List<TrackedMachine> eligible() {
        return eligible;
    }

    void addEligible(TrackedMachine machine) {
        eligible.add(machine);
    }

    /** An array by ordinal: this is counted for each machine and request. */
    @SuppressWarnings("EnumOrdinal")
    void countFiltered(FilterReason reason) {
        machinesByReason[reason.ordinal()]++;
    }

    /** Whether this shortage, as a part of the machine, is less than that of the closest so far. */
    boolean isCloser(double shortage) {
        return closest == null || shortage < closestShortage;
    }

    /** Records the machine that lacks the least of what the task needs. */
    void setClosest(TrackedMachine machine, double shortage, double cores, double memory) {
        closest = machine;
        closestShortage = shortage;
        missingCores = cores;
        missingMemory = memory;
    }

    /** The notification that the task is pending, and why. */
    Pending toNotification(TrackedTask task) {
        List<Integer> counts = new ArrayList<>(REASON_COUNT);
        for (int count : machinesByReason) {
            counts.add(count);
        }
        return new Pending(
                task.id(),
                List.copyOf(counts),
                closest == null ? "" : closest.id(),
                roundToHundredth(missingCores),
                roundToHundredth(missingMemory));
    }

    private static double roundToHundredth(double value) {
        return Math.rint(100 * value) / 100;
    }
}

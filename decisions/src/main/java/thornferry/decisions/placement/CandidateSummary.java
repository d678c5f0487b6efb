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
    private TrackedMachine closestMachine;
    private double closestShortageFraction;
    private double missingCores;
    private double missingMemory;

    CandidateSummary(int readyMachines) {
        eligible = new ArrayList<>(readyMachines);
    }

    /** Returns the machines that passed every filter, as a list that the caller may reorder. */
    List<TrackedMachine> eligible() {
        return eligible;
    }

    void addEligible(TrackedMachine machine) {
        eligible.add(machine);
    }

    /**
     * Counts a machine that was filtered out. The counts are an array indexed by ordinal, since
     * this method is called for each machine and request.
     */
    @SuppressWarnings("EnumOrdinal")
    void countFiltered(FilterReason reason) {
        machinesByReason[reason.ordinal()]++;
    }

    /**
     * Returns whether this shortage, as a fraction of the machine's size, is less than that of the
     * closest machine so far.
     */
    boolean isCloserFit(double shortageFraction) {
        return closestMachine == null || shortageFraction < closestShortageFraction;
    }

    /** Records the machine that lacks the least capacity for the task. */
    void setClosestMachine(
            TrackedMachine machine, double shortageFraction, double cores, double memory) {
        closestMachine = machine;
        closestShortageFraction = shortageFraction;
        missingCores = cores;
        missingMemory = memory;
    }

    /** Returns the notification that the task is pending, with the reasons. */
    Pending toNotification(TrackedTask task) {
        List<Integer> counts = new ArrayList<>(REASON_COUNT);
        for (int count : machinesByReason) {
            counts.add(count);
        }
        return new Pending(
                task.id(),
                List.copyOf(counts),
                closestMachine == null ? "" : closestMachine.id(),
                roundToHundredth(missingCores),
                roundToHundredth(missingMemory));
    }

    private static double roundToHundredth(double value) {
        return Math.rint(100 * value) / 100;
    }
}

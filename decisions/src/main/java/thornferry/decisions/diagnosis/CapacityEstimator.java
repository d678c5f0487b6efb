package thornferry.decisions.diagnosis;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.admission.QueuedRequest;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.MachineStatus;
import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.Pending;

/**
 * Estimates from the cluster view why the ready machines cannot take a request that is backing off.
 * The placement policy does not have such a request and therefore reports no filter counts for it.
 */
final class CapacityEstimator {
    private final ClusterView cluster;
    private final MachineMatcher matcher;

    CapacityEstimator(ClusterView cluster, MachineMatcher matcher) {
        this.cluster = cluster;
        this.matcher = matcher;
    }

    /**
     * Result of an estimate.
     *
     * @param fittingMachines number of ready machines that seem to have enough free capacity
     * @param pending filter counts of the other ready machines, in the form of the policy's report
     */
    record Estimate(int fittingMachines, Pending pending) {}

    Estimate estimate(QueuedRequest request) {
        RequestShape shape = RequestShape.of(request);
        Accumulator accumulator = new Accumulator();
        for (MachineStatus machine : cluster.allMachines()) {
            if (machine.isReady()) {
                evaluateMachine(machine, shape, accumulator);
            }
        }
        return accumulator.toEstimate(request.requestId());
    }

    private void evaluateMachine(
            MachineStatus machine, RequestShape shape, Accumulator accumulator) {
        double missingCores = Math.max(0, shape.cores() - machine.freeCores());
        double missingMemory = Math.max(0, shape.memory() - machine.freeMemory());
        if (!matcher.hasRequiredKind(machine, shape)) {
            accumulator.countFiltered(FilterReason.WRONG_KIND);
        } else if (!matcher.isLargeEnough(machine, shape)) {
            accumulator.countFiltered(FilterReason.MACHINE_TOO_SMALL);
        } else if (machine.isUnresponsive()) {
            accumulator.countFiltered(FilterReason.MACHINE_EJECTED);
        } else if (missingCores > 0 || missingMemory > 0) {
            accumulator.countShortfall(machine, missingCores, missingMemory);
        } else {
            accumulator.fittingMachines++;
        }
    }

    private static final class Accumulator {
        private final Map<FilterReason, Integer> machinesByReason =
                new EnumMap<>(FilterReason.class);
        private int fittingMachines;
        private String closestMachine = "";
        private double smallestShortfall = Double.POSITIVE_INFINITY;
        private double missingCores;
        private double missingMemory;

        void countFiltered(FilterReason reason) {
            machinesByReason.merge(reason, 1, Integer::sum);
        }

        void countShortfall(MachineStatus machine, double cores, double memory) {
            countFiltered(
                    cores > 0 ? FilterReason.INSUFFICIENT_CORES : FilterReason.INSUFFICIENT_MEMORY);
            double shortfall = Math.max(cores / machine.cores(), memory / machine.memory());
            if (shortfall < smallestShortfall) {
                smallestShortfall = shortfall;
                closestMachine = machine.name();
                missingCores = cores;
                missingMemory = memory;
            }
        }

        Estimate toEstimate(String requestId) {
            List<Integer> counts =
                    Arrays.stream(FilterReason.values())
                            .map(reason -> machinesByReason.getOrDefault(reason, 0))
                            .toList();
            return new Estimate(
                    fittingMachines,
                    new Pending(requestId, counts, closestMachine, missingCores, missingMemory));
        }
    }
}

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
 * Estimates from the cluster view why ready machines cannot take a request, for a request that
 * backs off: the placement policy does not have it and hence reports no filter counts.
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
     * @param fittingMachines ready machines that seem to have the capacity
     * @param pending the filter counts of the others, in the form of the policy's report
     */
    record Estimate(int fittingMachines, Pending pending) {}

    Estimate estimate(QueuedRequest request) {
        RequestShape shape = RequestShape.of(request);
        Accumulator accumulator = new Accumulator();
        for (MachineStatus machine : cluster.allMachines()) {
            if (machine.isReady()) {
                examine(machine, shape, accumulator);
            }
        }
        return accumulator.toEstimate(request.requestId());
    }

    private void examine(MachineStatus machine, RequestShape shape, Accumulator accumulator) {
        double missingCores = Math.max(0, shape.cores() - machine.freeCores());
        double missingMemory = Math.max(0, shape.memory() - machine.freeMemory());
        if (!matcher.hasRequiredKind(machine, shape)) {
            accumulator.count(FilterReason.WRONG_KIND);
        } else if (!matcher.isLargeEnough(machine, shape)) {
            accumulator.count(FilterReason.MACHINE_TOO_SMALL);
        } else if (machine.unresponsive()) {
            accumulator.count(FilterReason.MACHINE_EJECTED);
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

        void count(FilterReason reason) {
            machinesByReason.merge(reason, 1, Integer::sum);
        }

        void countShortfall(MachineStatus machine, double cores, double memory) {
            count(cores > 0 ? FilterReason.INSUFFICIENT_CORES : FilterReason.INSUFFICIENT_MEMORY);
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

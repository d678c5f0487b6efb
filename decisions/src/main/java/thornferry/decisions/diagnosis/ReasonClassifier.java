package thornferry.decisions.diagnosis;

import java.util.List;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.MachineStatus;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Pending;

/**
 * Classifies why no machine can take a task now.
 *
 * <p>The kind that is likely to end first is chosen: the kind that excludes the most ready machines
 * of sufficient size and the required kind; if there are no such machines, the kind that keeps most
 * of the other suitable machines from being ready; otherwise {@link Kind#UNSATISFIABLE}, or {@link
 * Kind#NO_MACHINES} if no machine is known. All findings are listed as evidence.
 */
final class ReasonClassifier {
    /** Largest shortfall of cores or memory that is not reported. */
    static final double MIN_SHORTFALL = 0.05;

    /** Filter reasons that each correspond to one kind, in the order of their evidence. */
    private static final List<FilterMapping> FILTER_MAPPINGS =
            List.of(
                    new FilterMapping(
                            FilterReason.MACHINE_EJECTED,
                            Kind.MACHINES_EJECTED,
                            EvidenceText.MACHINE_EJECTED),
                    new FilterMapping(
                            FilterReason.CLASS_EJECTED,
                            Kind.MACHINES_EJECTED,
                            EvidenceText.CLASS_EJECTED),
                    new FilterMapping(
                            FilterReason.OUTSIDE_KEY_SCOPE,
                            Kind.INDETERMINATE,
                            EvidenceText.OUTSIDE_KEY_SCOPE),
                    new FilterMapping(
                            FilterReason.SPREAD_LIMIT,
                            Kind.SPREAD_LIMIT,
                            EvidenceText.SPREAD_LIMIT),
                    new FilterMapping(
                            FilterReason.WARMING_UP, Kind.WARMING_UP, EvidenceText.WARMING_UP));

    private record FilterMapping(FilterReason filter, Kind kind, String description) {}

    private final ClusterView cluster;
    private final MachineMatcher matcher;
    private final IdempotencyKeyIndex keyIndex;

    ReasonClassifier(ClusterView cluster, MachineMatcher matcher, IdempotencyKeyIndex keyIndex) {
        this.cluster = cluster;
        this.matcher = matcher;
        this.keyIndex = keyIndex;
    }

    /** Classifies a queued task by the filter counts of the ready machines. */
    Diagnosis classify(TaskRecord task, Pending pending) {
        EvidenceCollector collector = new EvidenceCollector();
        collector.addMachineEvidence(
                EvidenceText.MACHINE_TOO_SMALL,
                machineCount(pending, FilterReason.MACHINE_TOO_SMALL));
        collector.addMachineEvidence(
                EvidenceText.WRONG_KIND, machineCount(pending, FilterReason.WRONG_KIND));
        addShortfalls(collector, pending);
        addRejections(collector, pending);
        addPreviousAttempt(collector, task, pending);
        for (FilterMapping mapping : FILTER_MAPPINGS) {
            collector.countWithEvidence(
                    mapping.kind(), mapping.description(), machineCount(pending, mapping.filter()));
        }
        UnavailableMachines unavailable =
                UnavailableMachines.find(cluster, matcher, task.requestShape());
        addUnavailable(collector, unavailable);
        Kind kind = collector.dominantKind().orElseGet(unavailable::reasonKind);
        return new Diagnosis(
                kind, collector.evidence(), EndCondition.of(kind, pending, unavailable));
    }

    /** The policy's report lists the counts in the order of the enum constants. */
    @SuppressWarnings("EnumOrdinal")
    private static int machineCount(Pending pending, FilterReason reason) {
        return pending.machinesByReason().get(reason.ordinal());
    }

    private static void addShortfalls(EvidenceCollector collector, Pending pending) {
        collector.countWithEvidence(
                Kind.NO_CAPACITY,
                EvidenceText.NOT_ENOUGH_CORES,
                machineCount(pending, FilterReason.INSUFFICIENT_CORES));
        collector.countWithEvidence(
                Kind.NO_CAPACITY,
                EvidenceText.NOT_ENOUGH_MEMORY,
                machineCount(pending, FilterReason.INSUFFICIENT_MEMORY));
        String closest = pending.closestMachine();
        if (closest.isEmpty()) {
            return;
        }
        if (pending.missingCores() > MIN_SHORTFALL) {
            collector.addEvidence(
                    Evidence.ofShortfall(
                            EvidenceText.CLOSEST_LACKS_CORES, closest, pending.missingCores()));
        }
        if (pending.missingMemory() > MIN_SHORTFALL) {
            collector.addEvidence(
                    Evidence.ofShortfall(
                            EvidenceText.CLOSEST_LACKS_MEMORY, closest, pending.missingMemory()));
        }
    }

    private void addRejections(EvidenceCollector collector, Pending pending) {
        int rejectingMachines = machineCount(pending, FilterReason.RECENTLY_REJECTED);
        if (rejectingMachines > 0) {
            collector.countMachines(Kind.REJECTED, rejectingMachines);
            addRejectionEvidence(collector, rejectingMachines);
        }
        collector.countWithEvidence(
                Kind.REJECTED,
                EvidenceText.REJECTED_QUEUE_FULL,
                machineCount(pending, FilterReason.QUEUE_FULL));
    }

    /** Names a rejecting machine only if all rejections have the same reason. */
    private void addRejectionEvidence(EvidenceCollector collector, int rejectingMachines) {
        int forCores = 0;
        int forMemory = 0;
        String lastMachine = "";
        for (MachineStatus machine : cluster.allMachines()) {
            if (machine.isReady() && isForCapacity(machine.lastRejection())) {
                forCores += machine.lastRejection() == RejectionReason.INSUFFICIENT_CORES ? 1 : 0;
                forMemory += machine.lastRejection() == RejectionReason.INSUFFICIENT_MEMORY ? 1 : 0;
                lastMachine = machine.name();
            }
        }
        if (forCores > 0) {
            collector.addEvidence(
                    Evidence.ofMachines(
                            EvidenceText.REJECTED_FOR_CORES,
                            forMemory == 0 ? lastMachine : "",
                            Math.min(rejectingMachines, forCores)));
        }
        if (forMemory > 0) {
            collector.addEvidence(
                    Evidence.ofMachines(
                            EvidenceText.REJECTED_FOR_MEMORY,
                            forCores == 0 ? lastMachine : "",
                            Math.min(rejectingMachines, forMemory)));
        }
        if (forCores + forMemory == 0) {
            collector.addMachineEvidence(EvidenceText.REJECTED_SIMILAR, rejectingMachines);
        }
    }

    private static boolean isForCapacity(RejectionReason reason) {
        return reason == RejectionReason.INSUFFICIENT_CORES
                || reason == RejectionReason.INSUFFICIENT_MEMORY;
    }

    /**
     * Counts the machine of the previous attempt, which the policy skips once. The kind follows
     * from the outcome of that attempt.
     */
    private void addPreviousAttempt(EvidenceCollector collector, TaskRecord task, Pending pending) {
        if (machineCount(pending, FilterReason.PREVIOUS_ATTEMPT_FAILED) == 0) {
            return;
        }
        PreviousAttempt previous = task.previousAttempt();
        if (!previous.wasRejected()) {
            collector.countWithEvidence(
                    Kind.MACHINES_EJECTED,
                    Evidence.ofMachine(EvidenceText.ATTEMPT_UNANSWERED, previous.machine()));
        } else if (wasRejectedForKey(task, previous)) {
            collector.countWithEvidence(Kind.KEY_HELD, keyEvidence(task));
        } else if (isDraining(previous)) {
            collector.countWithEvidence(
                    Kind.DRAINING,
                    Evidence.ofMachine(EvidenceText.REJECTED_DRAINING, previous.machine()));
        } else {
            collector.countWithEvidence(
                    Kind.REJECTED,
                    Evidence.ofMachine(EvidenceText.REJECTED_LAST_OFFER, previous.machine()));
        }
    }

    private static boolean wasRejectedForKey(TaskRecord task, PreviousAttempt previous) {
        return previous.rejection() == RejectionReason.KEY_HELD
                || (previous.rejection() == RejectionReason.UNAVAILABLE
                        && task.isIdempotentWithKey());
    }

    private Evidence keyEvidence(TaskRecord task) {
        return keyIndex.findTaskWithSameKey(task)
                .map(holder -> Evidence.ofMachine(EvidenceText.KEY_HELD_BY_OWN_TASK, holder))
                .orElseGet(() -> Evidence.ofMachines(EvidenceText.KEY_HELD, 1));
    }

    /**
     * Returns whether the machine of the previous attempt is draining. If that machine rejected the
     * offer because it was draining, it counts as draining until it is listed as ready again or has
     * accepted an offer.
     */
    private boolean isDraining(PreviousAttempt previous) {
        MachineStatus machine = cluster.findMachine(previous.machine());
        if (machine == null) {
            return false;
        }
        return machine.state() == MachineState.DRAINING
                || (previous.rejection() == RejectionReason.DRAINING
                        && machine.lastRejection() == RejectionReason.DRAINING);
    }

    private static void addUnavailable(
            EvidenceCollector collector, UnavailableMachines unavailable) {
        addNamedMachines(collector, EvidenceText.DRAINING, unavailable.draining());
        addNamedMachines(collector, EvidenceText.DISCONNECTED, unavailable.disconnected());
    }

    private static void addNamedMachines(
            EvidenceCollector collector, String description, List<String> machines) {
        if (!machines.isEmpty()) {
            collector.addEvidence(
                    Evidence.ofMachines(description, machines.get(0), machines.size()));
        }
    }
}

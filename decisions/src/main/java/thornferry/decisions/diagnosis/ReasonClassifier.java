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
 * <p>The kind is the one closest to its end: what excludes most of the ready machines that are
 * large enough; if there are none, what keeps other machines from being ready; else that no machine
 * is suitable. Everything else that was found is evidence.
 */
final class ReasonClassifier {
    /** A smaller shortfall of cores or memory is not reported. */
    static final double MIN_SHORTFALL = 0.05;

    /** Filter reasons that translate to a kind directly, in the order of their evidence. */
    private static final List<FilterRule> FILTER_RULES =
            List.of(
                    new FilterRule(
                            FilterReason.MACHINE_EJECTED,
                            Kind.MACHINES_EJECTED,
                            EvidenceText.MACHINE_EJECTED),
                    new FilterRule(
                            FilterReason.CLASS_EJECTED,
                            Kind.MACHINES_EJECTED,
                            EvidenceText.CLASS_EJECTED),
                    new FilterRule(
                            FilterReason.OUTSIDE_KEY_SCOPE,
                            Kind.INDETERMINATE,
                            EvidenceText.OUTSIDE_KEY_SCOPE),
                    new FilterRule(
                            FilterReason.SPREAD_LIMIT,
                            Kind.SPREAD_LIMIT,
                            EvidenceText.SPREAD_LIMIT),
                    new FilterRule(
                            FilterReason.WARMING_UP, Kind.WARMING_UP, EvidenceText.WARMING_UP));

    private record FilterRule(FilterReason filter, Kind kind, String description) {}

    private final ClusterView cluster;
    private final MachineMatcher matcher;
    private final IdempotencyKeyIndex keyIndex;

    ReasonClassifier(ClusterView cluster, MachineMatcher matcher, IdempotencyKeyIndex keyIndex) {
        this.cluster = cluster;
        this.matcher = matcher;
        this.keyIndex = keyIndex;
    }

    /** Classifies a queued task from the filter counts of the ready machines. */
    Diagnosis classify(TaskRecord task, Pending pending) {
        Classification classification = new Classification();
        classification.addMachines(
                EvidenceText.MACHINE_TOO_SMALL, machines(pending, FilterReason.MACHINE_TOO_SMALL));
        classification.addMachines(
                EvidenceText.WRONG_KIND, machines(pending, FilterReason.WRONG_KIND));
        addCapacity(classification, pending);
        addRejections(classification, pending);
        addPreviousAttempt(classification, task, pending);
        for (FilterRule rule : FILTER_RULES) {
            classification.countMachines(
                    rule.kind(), rule.description(), machines(pending, rule.filter()));
        }
        UnavailableMachines unavailable =
                UnavailableMachines.find(cluster, matcher, task.requestShape());
        addUnavailable(classification, unavailable);
        Kind kind = classification.dominantKind().orElseGet(unavailable::kind);
        return new Diagnosis(
                kind, classification.evidence(), EndCondition.of(kind, pending, unavailable));
    }

    /** Counts are listed in the order of the enum: that is the form of the policy's report. */
    @SuppressWarnings("EnumOrdinal")
    private static int machines(Pending pending, FilterReason reason) {
        return pending.machinesByReason().get(reason.ordinal());
    }

    private static void addCapacity(Classification classification, Pending pending) {
        classification.countMachines(
                Kind.NO_CAPACITY,
                EvidenceText.NOT_ENOUGH_CORES,
                machines(pending, FilterReason.INSUFFICIENT_CORES));
        classification.countMachines(
                Kind.NO_CAPACITY,
                EvidenceText.NOT_ENOUGH_MEMORY,
                machines(pending, FilterReason.INSUFFICIENT_MEMORY));
        String closest = pending.closestMachine();
        if (closest.isEmpty()) {
            return;
        }
        if (pending.missingCores() > MIN_SHORTFALL) {
            classification.add(
                    Evidence.ofShortfall(
                            EvidenceText.CLOSEST_LACKS_CORES, closest, pending.missingCores()));
        }
        if (pending.missingMemory() > MIN_SHORTFALL) {
            classification.add(
                    Evidence.ofShortfall(
                            EvidenceText.CLOSEST_LACKS_MEMORY, closest, pending.missingMemory()));
        }
    }

    private void addRejections(Classification classification, Pending pending) {
        int rejecting = machines(pending, FilterReason.RECENTLY_REJECTED);
        if (rejecting > 0) {
            classification.count(Kind.REJECTED, rejecting);
            addRejectionEvidence(classification, rejecting);
        }
        classification.countMachines(
                Kind.REJECTED,
                EvidenceText.REJECTED_QUEUE_FULL,
                machines(pending, FilterReason.QUEUE_FULL));
    }

    /** Names the rejecting machine only where all rejections have the same reason. */
    private void addRejectionEvidence(Classification classification, int rejecting) {
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
            classification.add(
                    Evidence.ofMachines(
                            EvidenceText.REJECTED_FOR_CORES,
                            forMemory == 0 ? lastMachine : "",
                            Math.min(rejecting, forCores)));
        }
        if (forMemory > 0) {
            classification.add(
                    Evidence.ofMachines(
                            EvidenceText.REJECTED_FOR_MEMORY,
                            forCores == 0 ? lastMachine : "",
                            Math.min(rejecting, forMemory)));
        }
        if (forCores + forMemory == 0) {
            classification.addMachines(EvidenceText.REJECTED_SIMILAR, rejecting);
        }
    }

    private static boolean isForCapacity(RejectionReason reason) {
        return reason == RejectionReason.INSUFFICIENT_CORES
                || reason == RejectionReason.INSUFFICIENT_MEMORY;
    }

    /**
     * The machine of the previous attempt is skipped once. How that attempt ended decides the kind.
     */
    private void addPreviousAttempt(
            Classification classification, TaskRecord task, Pending pending) {
        if (machines(pending, FilterReason.PREVIOUS_ATTEMPT_FAILED) == 0) {
            return;
        }
        PreviousAttempt previous = task.previousAttempt();
        if (!previous.wasRejected()) {
            classification.countMachine(
                    Kind.MACHINES_EJECTED,
                    Evidence.ofMachine(EvidenceText.ATTEMPT_UNANSWERED, previous.machine()));
        } else if (wasRejectedForKey(task, previous)) {
            classification.countMachine(Kind.KEY_HELD, keyEvidence(task));
        } else if (isDraining(previous)) {
            classification.countMachine(
                    Kind.DRAINING,
                    Evidence.ofMachine(EvidenceText.REJECTED_DRAINING, previous.machine()));
        } else {
            classification.countMachine(
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
        return keyIndex.taskWithSameKey(task)
                .map(holder -> Evidence.ofMachine(EvidenceText.KEY_HELD_BY_OWN_TASK, holder))
                .orElseGet(() -> Evidence.ofMachines(EvidenceText.KEY_HELD, 1));
    }

    /**
     * A rejection for draining counts until the machine is listed as ready again, or has accepted
     * an offer.
     */
    private boolean isDraining(PreviousAttempt previous) {
        MachineStatus machine = cluster.machine(previous.machine());
        if (machine == null) {
            return false;
        }
        return machine.state() == MachineState.DRAINING
                || (previous.rejection() == RejectionReason.DRAINING
                        && machine.lastRejection() == RejectionReason.DRAINING);
    }

    private static void addUnavailable(
            Classification classification, UnavailableMachines unavailable) {
        addNames(classification, EvidenceText.DRAINING, unavailable.draining());
        addNames(classification, EvidenceText.DISCONNECTED, unavailable.disconnected());
    }

    private static void addNames(
            Classification classification, String description, List<String> machines) {
        if (!machines.isEmpty()) {
            classification.add(Evidence.ofMachines(description, machines.get(0), machines.size()));
        }
    }
}

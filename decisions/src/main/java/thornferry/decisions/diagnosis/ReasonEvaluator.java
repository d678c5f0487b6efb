package thornferry.decisions.diagnosis;

import java.util.function.ToLongFunction;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.admission.QuotaBlock;
import thornferry.decisions.admission.QuotaNames;
import thornferry.decisions.diagnosis.CapacityEstimator.Estimate;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.diagnosis.PendingReasons.Reason;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.Membership;

/** Evaluates why a waiting task is pending, from its current stage. */
final class ReasonEvaluator {
    /** A quota block until this time or later is not ended by the passage of time alone. */
    private static final long NEVER_FROM_MICROS = Long.MAX_VALUE / 8;

    /** Maximum number of requests ahead of a task that are counted. */
    private static final int MAX_COUNTED_AHEAD = 1_000;

    private final ClusterView cluster;
    private final AdmissionQueue queue;
    private final ToLongFunction<String> connectionOfMachine;
    private final ReasonClassifier classifier;
    private final CapacityEstimator estimator;
    private final DiagnosisCache cache = new DiagnosisCache();

    /**
     * Creates an evaluator.
     *
     * @param connectionOfMachine returns the connection of a machine, or {@link
     *     Membership#NO_CONNECTION}
     */
    ReasonEvaluator(
            ClusterView cluster,
            AdmissionQueue queue,
            ToLongFunction<String> connectionOfMachine,
            MachineMatcher matcher,
            IdempotencyKeyIndex keyIndex) {
        this.cluster = cluster;
        this.queue = queue;
        this.connectionOfMachine = connectionOfMachine;
        this.classifier = new ReasonClassifier(cluster, matcher, keyIndex);
        this.estimator = new CapacityEstimator(cluster, matcher);
    }

    Diagnosis evaluate(long nowMicros, TaskRecord task) {
        if (task.isAwaitingInventory()) {
            return diagnoseAwaitingInventory(task);
        }
        if (!task.isQueued()) {
            return Diagnosis.withoutEvidence(Kind.QUEUED, EndCondition.DISPATCHED);
        }
        AdmissionQueue.Status status = queue.status(nowMicros, task.queuedRequest().requestId());
        return switch (status.stage()) {
            case QUEUED -> diagnoseQueued(task, status);
            case BACKING_OFF -> diagnoseBackingOff(task, status);
            case OFFERED -> diagnoseOffered(task);
            default -> diagnoseDispatched(task);
        };
    }

    /**
     * Returns the task's last reason, with the number of tasks ahead as evidence if the task is
     * queued and there is no other evidence. That number changes constantly. Therefore it is
     * computed only when an explanation is requested, and does not count as a change of the reason.
     */
    Reason addTasksAhead(TaskRecord task) {
        Reason reason = task.reason();
        if (reason == null
                || reason.kind() != Kind.QUEUED
                || !task.isQueued()
                || !reason.evidence().isEmpty()) {
            return reason;
        }
        int ahead = queue.countQueuedAhead(task.queuedRequest().requestId(), MAX_COUNTED_AHEAD);
        return Diagnosis.of(
                        reason.kind(),
                        Evidence.ofAmount(EvidenceText.TASKS_AHEAD, ahead),
                        reason.endsWhen())
                .toReason(reason.sinceMicros());
    }

    /** Bounds the memory of the cache; to be called once per tick. */
    void trimCache() {
        cache.trim();
    }

    private static Diagnosis diagnoseAwaitingInventory(TaskRecord task) {
        if (task.unreportedMachine().isEmpty()) {
            return Diagnosis.of(
                    Kind.INDETERMINATE,
                    Evidence.ofDescription(EvidenceText.PLACER_JUST_STARTED),
                    EndCondition.MACHINES_REPORTED);
        }
        return Diagnosis.of(
                Kind.INDETERMINATE,
                Evidence.ofMachine(
                        EvidenceText.MAY_HAVE_RUN_BEFORE_RESTART, task.unreportedMachine()),
                EndCondition.MACHINE_REPORTED);
    }

    private Diagnosis diagnoseQueued(TaskRecord task, AdmissionQueue.Status status) {
        if (status.quotaBlock() != null) {
            return diagnoseQuotaBlock(task, status.quotaBlock());
        }
        if (status.heldBackByReservation()) {
            return Diagnosis.withoutEvidence(
                    Kind.CAPACITY_RESERVED, EndCondition.RESERVATION_ENDED);
        }
        if (queue.isOverloaded()) {
            return Diagnosis.of(
                    Kind.OVERLOADED,
                    Evidence.ofAmount(EvidenceText.TASKS_WAITING, queue.waitingCount()),
                    EndCondition.LOAD_DECREASED);
        }
        if (status.aboveFairShare()) {
            return Diagnosis.of(
                    Kind.FAIR_SHARE,
                    Evidence.ofName(EvidenceText.ABOVE_FAIR_SHARE, task.tenant()),
                    EndCondition.TENANT_BELOW_SHARE);
        }
        return Diagnosis.withoutEvidence(Kind.QUEUED, EndCondition.REQUESTS_AHEAD_PLACED);
    }

    private static Diagnosis diagnoseQuotaBlock(TaskRecord task, QuotaBlock block) {
        String description = EvidenceText.QUOTA_PREFIX + block.quotaName();
        boolean endsWithTime = block.untilMicros() < NEVER_FROM_MICROS;
        return switch (block.scope()) {
            case OWNER ->
                    Diagnosis.of(
                            Kind.OWNER_QUOTA,
                            ownerQuotaEvidence(task, block, description),
                            endsWithTime
                                    ? EndCondition.QUOTA_REFILLED
                                    : EndCondition.OWNER_BELOW_QUOTA);
            // The usage of a shared quota is left out, as it would disclose other owners' tasks.
            case TENANT ->
                    Diagnosis.of(
                            Kind.TENANT_QUOTA,
                            Evidence.ofLimit(description, task.tenant(), block.limit()),
                            endsWithTime
                                    ? EndCondition.QUOTA_REFILLED
                                    : EndCondition.TENANT_BELOW_QUOTA);
            case SITE ->
                    Diagnosis.of(
                            Kind.OVERLOADED,
                            Evidence.ofLimit(description, "", block.limit()),
                            endsWithTime
                                    ? EndCondition.QUOTA_REFILLED
                                    : EndCondition.SITE_BELOW_QUOTA);
        };
    }

    private static Evidence ownerQuotaEvidence(
            TaskRecord task, QuotaBlock block, String description) {
        return block.quotaName().equals(QuotaNames.RETRIES)
                ? Evidence.ofLimit(description, task.owner(), block.limit())
                : Evidence.ofUsage(description, task.owner(), block.limit(), block.usage());
    }

    private Diagnosis diagnoseBackingOff(TaskRecord task, AdmissionQueue.Status status) {
        if (status.quotaBlock() != null) {
            return diagnoseQuotaBlock(task, status.quotaBlock());
        }
        // An estimate does not depend on a previous attempt, so it is the same for equal shapes.
        return cache.getOrCompute(
                task.requestShape(), cluster.version(), () -> diagnoseByEstimate(task));
    }

    private Diagnosis diagnoseByEstimate(TaskRecord task) {
        Estimate estimate = estimator.estimate(task.queuedRequest());
        if (estimate.fittingMachines() > 0) {
            return Diagnosis.of(
                    Kind.QUEUED,
                    Evidence.ofMachines(EvidenceText.MAY_HAVE_CAPACITY, estimate.fittingMachines()),
                    EndCondition.RETRIED);
        }
        return classifier.classify(task, estimate.pending());
    }

    private Diagnosis diagnoseOffered(TaskRecord task) {
        String machine = task.machine();
        if (connectionOfMachine.applyAsLong(machine) == Membership.NO_CONNECTION) {
            return Diagnosis.of(
                    Kind.INDETERMINATE,
                    Evidence.ofMachine(EvidenceText.OFFERED_AND_DISCONNECTED, machine),
                    EndCondition.machineReconnects(machine));
        }
        return Diagnosis.of(
                Kind.AWAITING_RESPONSE,
                Evidence.ofMachine(EvidenceText.OFFERED_TO, machine),
                EndCondition.machineAnswers(machine));
    }

    private Diagnosis diagnoseDispatched(TaskRecord task) {
        return task.policyReport()
                .map(report -> classifier.classify(task, report))
                .orElseGet(
                        () -> Diagnosis.withoutEvidence(Kind.QUEUED, EndCondition.POLICY_DECIDED));
    }
}

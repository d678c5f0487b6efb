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

/** Evaluates why a waiting task is pending, from its present stage. */
final class ReasonEvaluator {
    /** A quota that is exceeded until later than this is not refilled by time. */
    private static final long MAX_REFILL_TIME_MICROS = Long.MAX_VALUE / 8;

    /** Bound of the number of requests counted that come before a task. */
    private static final int MAX_COUNTED_AHEAD = 1_000;

    private final ClusterView cluster;
    private final AdmissionQueue queue;
    private final ToLongFunction<String> connections;
    private final ReasonClassifier classifier;
    private final CapacityEstimator estimator;
    private final ReasonCache cache = new ReasonCache();

    /** {@code connections} gives a machine's connection, or {@link Membership#NO_CONNECTION}. */
    ReasonEvaluator(
            ClusterView cluster,
            AdmissionQueue queue,
            ToLongFunction<String> connections,
            MachineMatcher matcher,
            IdempotencyKeyIndex keyIndex) {
        this.cluster = cluster;
        this.queue = queue;
        this.connections = connections;
        this.classifier = new ReasonClassifier(cluster, matcher, keyIndex);
        this.estimator = new CapacityEstimator(cluster, matcher);
    }

    Diagnosis evaluate(long nowMicros, TaskRecord task) {
        if (task.isAwaitingInventory()) {
            return awaitingInventory(task);
        }
        if (!task.isQueued()) {
            return Diagnosis.withoutEvidence(Kind.QUEUED, EndCondition.DISPATCHED);
        }
        AdmissionQueue.Status status = queue.status(nowMicros, task.queuedRequest().requestId());
        return switch (status.stage()) {
            case QUEUED -> queued(task, status);
            case BACKING_OFF -> backingOff(task, status);
            case OFFERED -> offered(task);
            default -> dispatched(task);
        };
    }

    /**
     * The task's last reason, with the number of tasks ahead as evidence if the task is queued and
     * there is no other evidence. That number changes all the time, hence it is computed only when
     * read and does not count as a change of the reason.
     */
    Reason addTasksAhead(TaskRecord task) {
        Reason reason = task.reason();
        if (reason == null
                || reason.kind() != Kind.QUEUED
                || !task.isQueued()
                || !reason.evidence().isEmpty()) {
            return reason;
        }
        int ahead = queue.countAhead(task.queuedRequest().requestId(), MAX_COUNTED_AHEAD);
        return Diagnosis.of(
                        reason.kind(),
                        Evidence.ofAmount(EvidenceText.TASKS_AHEAD, ahead),
                        reason.endsWhen())
                .since(reason.sinceMicros());
    }

    /** Releases memory; to be called once a tick. */
    void trimCache() {
        cache.trim();
    }

    private static Diagnosis awaitingInventory(TaskRecord task) {
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

    private Diagnosis queued(TaskRecord task, AdmissionQueue.Status status) {
        if (status.quotaBlock() != null) {
            return throttled(task, status.quotaBlock());
        }
        if (status.capacityReserved()) {
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

    private static Diagnosis throttled(TaskRecord task, QuotaBlock block) {
        String description = EvidenceText.QUOTA_PREFIX + block.quota();
        boolean refills = block.untilMicros() < MAX_REFILL_TIME_MICROS;
        return switch (block.scope()) {
            case OWNER ->
                    Diagnosis.of(
                            Kind.OWNER_QUOTA,
                            ownerQuotaEvidence(task, block, description),
                            refills ? EndCondition.QUOTA_REFILLED : EndCondition.OWNER_BELOW_QUOTA);
            // The usage of a shared quota would disclose other owners' tasks.
            case TENANT ->
                    Diagnosis.of(
                            Kind.TENANT_QUOTA,
                            Evidence.ofLimit(description, task.tenant(), block.limit()),
                            refills
                                    ? EndCondition.QUOTA_REFILLED
                                    : EndCondition.TENANT_BELOW_QUOTA);
            case SITE ->
                    Diagnosis.of(
                            Kind.OVERLOADED,
                            Evidence.ofLimit(description, "", block.limit()),
                            refills ? EndCondition.QUOTA_REFILLED : EndCondition.SITE_BELOW_QUOTA);
        };
    }

    private static Evidence ownerQuotaEvidence(
            TaskRecord task, QuotaBlock block, String description) {
        return block.quota().equals(QuotaNames.RETRIES)
                ? Evidence.ofLimit(description, task.owner(), block.limit())
                : Evidence.ofUsage(description, task.owner(), block.limit(), block.usage());
    }

    private Diagnosis backingOff(TaskRecord task, AdmissionQueue.Status status) {
        if (status.quotaBlock() != null) {
            return throttled(task, status.quotaBlock());
        }
        // An estimate never counts a previous attempt, so it is the same for equal shapes.
        return cache.get(task.requestShape(), cluster.version(), () -> estimated(task));
    }

    private Diagnosis estimated(TaskRecord task) {
        Estimate estimate = estimator.estimate(task.queuedRequest());
        if (estimate.fittingMachines() > 0) {
            return Diagnosis.of(
                    Kind.QUEUED,
                    Evidence.ofMachines(EvidenceText.MAY_HAVE_CAPACITY, estimate.fittingMachines()),
                    EndCondition.RETRIED);
        }
        return classifier.classify(task, estimate.pending());
    }

    private Diagnosis offered(TaskRecord task) {
        String machine = task.machine();
        if (connections.applyAsLong(machine) == Membership.NO_CONNECTION) {
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

    private Diagnosis dispatched(TaskRecord task) {
        return task.policyReport()
                .map(report -> classifier.classify(task, report))
                .orElseGet(
                        () -> Diagnosis.withoutEvidence(Kind.QUEUED, EndCondition.POLICY_DECIDED));
    }
}

package thornferry.decisions.diagnosis;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.admission.QueuedRequest;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.Pending;

/**
 * Explains why each task is currently pending. A reason is evaluated from the task's place in the
 * admission queue, its quotas, the policy's last report and its open attempt, never from a log of
 * events. A bounded history of the changes of the reason is kept until some time after the task has
 * ended.
 *
 * <p>A task is identified by its owner and the name that the owner gave it. A reason never contains
 * anything about another owner's tasks. All times are microseconds; {@code nowMicros} never
 * decreases.
 */
public final class PendingReasons {
    /** Kind of reason for which a task is pending. */
    public enum Kind {
        /** The task is too large for every known machine, or needs a kind that none of them has. */
        UNSATISFIABLE,
        /** Machines could take the task, but currently lack free cores or memory. */
        NO_CAPACITY,
        /** Machines rejected the task, or recently rejected similar tasks. */
        REJECTED,
        /**
         * Machines that could take the task are unresponsive, disconnected or quarantined, or do
         * not answer offers of its class.
         */
        MACHINES_EJECTED,
        /** Another attempt with the same idempotency key runs, or ran within the key's window. */
        KEY_HELD,
        /** The machines that could take the task are draining. */
        DRAINING,
        /** The spread limit of the task's service is reached wherever there is free capacity. */
        SPREAD_LIMIT,
        /** Machines that could take the task have just started and are in slow start. */
        WARMING_UP,
        /** No machine is known. */
        NO_MACHINES,
        /** A quota of the task's owner is reached. */
        OWNER_QUOTA,
        /** A quota of the task's tenant is reached. */
        TENANT_QUOTA,
        /** The task's tenant uses more than its fair share, and other tenants come first. */
        FAIR_SHARE,
        /** The site's quota is reached, or the admission queue is shedding load. */
        OVERLOADED,
        /** Capacity is reserved, for a bounded time, for a larger task of higher weight. */
        CAPACITY_RESERVED,
        /**
         * An earlier attempt may have run. Until its result is known, no other attempt is made, or
         * only on machines that drop duplicates.
         */
        INDETERMINATE,
        /** The task was offered to a machine that has not responded yet. */
        AWAITING_RESPONSE,
        /** The task waits in the admission queue, or for the policy's decision. */
        QUEUED
    }

    /**
     * One piece of evidence for a reason.
     *
     * @param description what was found, in words
     * @param name a machine, an owner or tenant, or a task of the same owner; empty for none
     * @param machines number of machines; 0 if the evidence is not about machines
     * @param needed an amount that is required or allowed; NaN for none
     * @param available an amount that is available or used; NaN for none
     */
    public record Evidence(
            String description, String name, int machines, double needed, double available) {
        private static final double NO_AMOUNT = Double.NaN;

        static Evidence ofDescription(String description) {
            return new Evidence(description, "", 0, NO_AMOUNT, NO_AMOUNT);
        }

        /** Evidence about an owner or tenant. */
        static Evidence ofName(String description, String name) {
            return new Evidence(description, name, 0, NO_AMOUNT, NO_AMOUNT);
        }

        static Evidence ofMachine(String description, String machine) {
            return new Evidence(description, machine, 1, NO_AMOUNT, NO_AMOUNT);
        }

        static Evidence ofMachines(String description, int machines) {
            return new Evidence(description, "", machines, NO_AMOUNT, NO_AMOUNT);
        }

        /** Evidence about a number of machines, one of which is named. */
        static Evidence ofMachines(String description, String machine, int machines) {
            return new Evidence(description, machine, machines, NO_AMOUNT, NO_AMOUNT);
        }

        static Evidence ofShortfall(String description, String machine, double missing) {
            return new Evidence(description, machine, 1, missing, NO_AMOUNT);
        }

        static Evidence ofAmount(String description, double amount) {
            return new Evidence(description, "", 0, NO_AMOUNT, amount);
        }

        static Evidence ofLimit(String description, String name, double limit) {
            return new Evidence(description, name, 0, limit, NO_AMOUNT);
        }

        static Evidence ofUsage(String description, String name, double limit, double usage) {
            return new Evidence(description, name, 0, limit, usage);
        }

        boolean hasNeeded() {
            return !Double.isNaN(needed);
        }

        boolean hasAvailable() {
            return !Double.isNaN(available);
        }
    }

    /**
     * Why a task is pending.
     *
     * @param sinceMicros time at which a reason of this kind began
     * @param endsWhen what would end the reason, in words; may be empty
     */
    public record Reason(Kind kind, long sinceMicros, List<Evidence> evidence, String endsWhen) {
        /** Returns the reason as text for the task's owner. */
        public String sentence() {
            return ReasonFormatter.format(this);
        }
    }

    /** State of a task as its owner sees it. */
    public enum State {
        /** The task was submitted and has no result yet. */
        WAITING,
        /** The task is placed on a machine. */
        PLACED,
        /** The task was rejected: it never ran, and may be submitted again. */
        REJECTED,
        /** The task failed; it may have run. */
        FAILED,
        /** The task was placed and has finished. */
        FINISHED,
        /** The owner has no such task, or its record has been evicted. */
        UNKNOWN
    }

    /**
     * A change of a task's state, or of the kind of its reason.
     *
     * @param reason null unless the state is WAITING
     */
    public record Change(long atMicros, State state, Reason reason) {}

    /**
     * Everything known about one task.
     *
     * @param taskClass empty until the task has reached the admission queue
     * @param reason null unless the state is WAITING
     * @param submissions number of submissions of the task
     * @param attempts number of offers over all submissions
     */
    public record Explanation(
            String owner,
            String task,
            String taskClass,
            State state,
            Reason reason,
            long waitingSinceMicros,
            int submissions,
            int attempts,
            List<Change> history) {}

    /** Notification for the watchers of a task that its reason or state may have changed. */
    public record ReasonChanged(String owner, String tenant, String task) {}

    /**
     * Limits of the records that are kept.
     *
     * @param enabled whether tasks are recorded at all
     * @param maxRecords number of records above which the records of ended tasks are evicted,
     *     oldest first; at least 1
     * @param maxHistory number of changes kept for each task: the first and the latest; at least 2
     * @param retentionMicros time for which the record of a task is kept after the task has ended
     */
    public record Limits(boolean enabled, int maxRecords, int maxHistory, long retentionMicros) {
        public Limits {
            requireAtLeast("maxRecords", maxRecords, 1);
            requireAtLeast("maxHistory", maxHistory, 2);
            requireAtLeast("retentionMicros", retentionMicros, 0);
        }

        private static void requireAtLeast(String field, long value, long minimum) {
            if (value < minimum) {
                throw new IllegalArgumentException(
                        "pending reasons: "
                                + field
                                + " must be at least "
                                + minimum
                                + ", but is "
                                + value);
            }
        }
    }

    private final Limits limits;
    private final TaskRecordStore tasks;
    private final IdempotencyKeyIndex keyIndex = new IdempotencyKeyIndex();
    private final ReevaluationSchedule schedule = new ReevaluationSchedule();
    private final ReasonEvaluator evaluator;

    /**
     * Creates an instance without tasks.
     *
     * @param requiredKindByClass required machine kind by task class; a class that runs on any kind
     *     has no entry
     * @param connectionOfMachine returns the connection of a machine, or {@link
     *     thornferry.decisions.membership.Membership#NO_CONNECTION}
     */
    public PendingReasons(
            Limits limits,
            ClusterView cluster,
            AdmissionQueue queue,
            Map<String, String> requiredKindByClass,
            ToLongFunction<String> connectionOfMachine) {
        this.limits = limits;
        this.tasks = new TaskRecordStore(limits);
        this.evaluator =
                new ReasonEvaluator(
                        cluster,
                        queue,
                        connectionOfMachine,
                        new MachineMatcher(requiredKindByClass),
                        keyIndex);
    }

    // Events that concern a task.

    /** Records that a task was submitted, for the first time or again. */
    public void submitted(long nowMicros, TaskSubmission submission) {
        if (!limits.enabled()) {
            return;
        }
        TaskRecord task = tasks.findOrCreate(nowMicros, submission.owner(), submission.task());
        task.submit(nowMicros, submission);
        tasks.addWaiting(task);
        schedule.markChanged(task);
    }

    /** Records that a task entered the admission queue as the given request. */
    public void queued(String taskName, QueuedRequest request) {
        tasks.find(request.owner(), taskName)
                .filter(TaskRecord::isWaiting)
                .ifPresent(
                        task -> {
                            tasks.removeRequest(task);
                            task.enterQueue(request);
                            tasks.addRequest(request.requestId(), task);
                            schedule.markChanged(task);
                        });
    }

    /** Records the policy's report of why a request is pending. */
    public void policyReported(Pending report) {
        tasks.findByRequest(report.requestId())
                .filter(TaskRecord::isWaiting)
                .ifPresent(
                        task -> {
                            task.setPolicyReport(report);
                            schedule.markChanged(task);
                        });
    }

    /** Records that a request was offered to a machine. */
    public void attemptStarted(String requestId, String machine) {
        tasks.findByRequest(requestId)
                .ifPresent(
                        task -> {
                            task.startAttempt(machine);
                            schedule.markChanged(task);
                        });
    }

    /** Records that a machine rejected an offer; a call of {@link #attemptEnded} follows. */
    public void offerRejected(String requestId, String machine, RejectionReason reason) {
        tasks.findByRequest(requestId).ifPresent(task -> task.rejectOffer(machine, reason));
    }

    /** Records that the attempt on a machine ended. */
    public void attemptEnded(String requestId, String machine, AttemptOutcome outcome) {
        tasks.findByRequest(requestId)
                .filter(TaskRecord::isWaiting)
                .ifPresent(
                        task -> {
                            task.endAttempt(machine, outcome);
                            schedule.markChanged(task);
                        });
    }

    /** Records that the stage of a request in the admission queue changed. */
    public void stageChanged(String requestId) {
        tasks.findByRequest(requestId).ifPresent(schedule::markChanged);
    }

    /**
     * Records the result of a submission. A task without a record is one that the placer adopted:
     * it was already running when this placer started.
     *
     * @param machine machine on which the task is placed; empty for none
     */
    public void completed(
            long nowMicros, String owner, String taskName, State result, String machine) {
        if (!limits.enabled() && tasks.find(owner, taskName).isEmpty()) {
            return;
        }
        TaskRecord task = tasks.findOrCreate(nowMicros, owner, taskName);
        boolean wasWaiting = tasks.removeWaiting(task);
        task.complete(nowMicros, result, machine);
        if (result == State.PLACED) {
            keyIndex.add(task);
        } else {
            tasks.removeRequest(task);
            tasks.addEnded(nowMicros, task);
        }
        if (wasWaiting) {
            schedule.markChanged(task);
        }
    }

    /** Records that a placed task has finished. */
    public void finished(long nowMicros, String owner, String taskName) {
        tasks.find(owner, taskName)
                .filter(task -> task.state() == State.PLACED)
                .ifPresent(
                        task -> {
                            task.finish(nowMicros);
                            tasks.removeRequest(task);
                            keyIndex.remove(task);
                            tasks.addEnded(nowMicros, task);
                        });
    }

    // Periodic evaluation.

    /**
     * Evaluates the reasons of the tasks that an event concerned and of some of the other waiting
     * tasks, and evicts old records. To be called several times a second.
     *
     * @param changed receives each task whose reason or state may have changed
     */
    public void tick(long nowMicros, Consumer<ReasonChanged> changed) {
        for (TaskRecord task : schedule.takeChanged()) {
            evaluate(nowMicros, task);
            changed.accept(task.toNotification());
        }
        for (TaskRecord task : schedule.takeSweepBatch(tasks.waiting())) {
            Reason previousReason = task.reason();
            evaluate(nowMicros, task);
            if (task.isWaiting() && !isSameReason(previousReason, task.reason())) {
                changed.accept(task.toNotification());
            }
        }
        tasks.evict(nowMicros);
        evaluator.trimCache();
    }

    private void evaluate(long nowMicros, TaskRecord task) {
        if (task.isWaiting()) {
            task.updateReason(nowMicros, evaluator.evaluate(nowMicros, task));
        }
    }

    /** Compares kind and evidence; {@code before} may be null, {@code after} may not. */
    private static boolean isSameReason(Reason before, Reason after) {
        return before != null
                && before.kind() == after.kind()
                && before.evidence().equals(after.evidence());
    }

    // Queries.

    /**
     * Explains a task of an owner. If the owner has no such task, the explanation has the state
     * UNKNOWN and default values.
     */
    public Explanation explain(long nowMicros, String owner, String taskName) {
        Optional<TaskRecord> found = tasks.find(owner, taskName);
        if (found.isEmpty()) {
            return new Explanation(owner, taskName, "", State.UNKNOWN, null, 0, 0, 0, List.of());
        }
        TaskRecord task = found.get();
        evaluate(nowMicros, task);
        return new Explanation(
                owner,
                taskName,
                task.taskClass(),
                task.state(),
                evaluator.addTasksAhead(task),
                task.waitingSinceMicros(),
                task.submissions(),
                task.attempts(),
                task.history());
    }

    /** Returns the reason of a waiting request; null if the request does not wait or is unknown. */
    public Reason reasonOf(long nowMicros, String requestId) {
        Optional<TaskRecord> found = tasks.findByRequest(requestId);
        found.ifPresent(task -> evaluate(nowMicros, task));
        return found.map(TaskRecord::reason).orElse(null);
    }

    /**
     * Explains waiting tasks, in the order of their submission.
     *
     * @param owner owner of the tasks; null for the tasks of all owners
     * @param maxTasks maximum number of tasks explained
     */
    public List<Explanation> explainWaiting(long nowMicros, String owner, int maxTasks) {
        List<Explanation> explanations = new ArrayList<>();
        for (TaskRecord task : tasks.waiting()) {
            if (explanations.size() >= maxTasks) {
                break;
            }
            if (matchesOwner(task, owner)) {
                explanations.add(explain(nowMicros, task.owner(), task.name()));
            }
        }
        return explanations;
    }

    /**
     * Returns the number of waiting tasks by tenant and kind of reason, as of their last
     * evaluation.
     *
     * @param owner owner of the tasks; null for the tasks of all owners
     */
    public Map<String, Map<Kind, Integer>> countWaitingByTenant(String owner) {
        Map<String, Map<Kind, Integer>> counts = new TreeMap<>();
        for (TaskRecord task : tasks.waiting()) {
            if (task.reason() != null && matchesOwner(task, owner)) {
                counts.computeIfAbsent(task.tenant(), tenant -> new EnumMap<>(Kind.class))
                        .merge(task.reason().kind(), 1, Integer::sum);
            }
        }
        return Collections.unmodifiableMap(counts);
    }

    private static boolean matchesOwner(TaskRecord task, String owner) {
        return owner == null || owner.equals(task.owner());
    }

    /** Returns the number of waiting tasks. */
    public int waitingCount() {
        return tasks.waiting().size();
    }
}

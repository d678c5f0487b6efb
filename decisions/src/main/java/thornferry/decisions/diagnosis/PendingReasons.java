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
 * Why each task is pending, as of now: evaluated from the task's place in the admission queue, its
 * quotas, the policy's last report and its open attempt, never from a log of events. Changes of the
 * reason are kept as a bounded history until some time after the task's end.
 *
 * <p>A task is identified by its owner and the owner's name for it. A reason never contains
 * anything about another owner's tasks. All times are microseconds; {@code nowMicros} never
 * decreases.
 */
public final class PendingReasons {
    /** Kind of reason for which a task is pending. */
    public enum Kind {
        /** No known machine could ever take it: it is too large, or needs a kind that none has. */
        UNSATISFIABLE,
        /** Machines could take it, but lack free cores or memory now. */
        NO_CAPACITY,
        /** Machines rejected it, or recently rejected similar tasks. */
        REJECTED,
        /**
         * Machines that could take it are unresponsive, disconnected, quarantined, or leave tasks
         * of its class unanswered.
         */
        MACHINES_EJECTED,
        /** Another attempt with its idempotency key is running, or ran within the key's window. */
        KEY_HELD,
        /** The machines that could take it are draining. */
        DRAINING,
        /** Wherever there is capacity, the spread limit of its service is reached. */
        SPREAD_LIMIT,
        /** Machines that could take it have just started and are in slow start. */
        WARMING_UP,
        /** No machine is known. */
        NO_MACHINES,
        /** A quota of its owner is reached. */
        OWNER_QUOTA,
        /** A quota of its owner's tenant is reached. */
        TENANT_QUOTA,
        /** Its tenant uses more than its fair share, and other tenants come first. */
        FAIR_SHARE,
        /** The site's quota is reached, or the admission queue is shedding load. */
        OVERLOADED,
        /** Capacity is reserved, for a bounded time, for a larger task of higher weight. */
        CAPACITY_RESERVED,
        /**
         * An earlier attempt may have run; until that is known, no other is made, or only where
         * duplicates are dropped.
         */
        INDETERMINATE,
        /** It was offered to a machine, whose response is due. */
        AWAITING_RESPONSE,
        /** It waits in the admission queue, or for the policy's decision. */
        QUEUED
    }

    /**
     * One piece of evidence for a reason.
     *
     * @param description what was found, in words
     * @param name a machine, an owner or tenant, or a task of the same owner; empty for none
     * @param machines number of machines; 0 if it is not about machines
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

        /** Evidence about a number of machines of which one is named. */
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
     * @param sinceMicros when a reason of this kind began
     * @param endsWhen what would end it, in words; may be empty
     */
    public record Reason(Kind kind, long sinceMicros, List<Evidence> evidence, String endsWhen) {
        /** The reason as one plain sentence. */
        public String sentence() {
            return ReasonFormatter.sentence(this);
        }
    }

    /** State of a task, as its owner sees it. */
    public enum State {
        /** Submitted; no result yet. */
        WAITING,
        /** Placed on a machine. */
        PLACED,
        /** Rejected: it never ran, and may be submitted again. */
        REJECTED,
        /** Failed: it may have run. */
        FAILED,
        /** It was placed and has finished. */
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
     * @param submissions how often the task was submitted
     * @param attempts offers made over all submissions
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

    /** Notification that a task's reason or state may have changed, for its watchers. */
    public record ReasonChanged(String owner, String tenant, String task) {}

    /**
     * Bounds of what is recorded.
     *
     * @param enabled whether reasons are recorded at all
     * @param maxRecords number of records above which those of ended tasks are evicted, oldest
     *     first; at least 1
     * @param maxHistory changes kept for each task, which are the first and the latest; at least 2
     * @param retentionMicros time for which a task is kept after its end
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
                        "limit of reasons "
                                + field
                                + " must be at least "
                                + minimum
                                + ", is "
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
     * @param requiredKinds the machine kind that a task class needs; no entry where any will do
     * @param connections gives the connection of a machine, -1 if it has none
     */
    public PendingReasons(
            Limits limits,
            ClusterView cluster,
            AdmissionQueue queue,
            Map<String, String> requiredKinds,
            ToLongFunction<String> connections) {
        this.limits = limits;
        this.tasks = new TaskRecordStore(limits);
        this.evaluator =
                new ReasonEvaluator(
                        cluster, queue, connections, new MachineMatcher(requiredKinds), keyIndex);
    }

    // Events in a task's life.

    /** A task is submitted, for the first time or again. */
    public void submitted(long nowMicros, TaskSubmission submission) {
        if (!limits.enabled()) {
            return;
        }
        TaskRecord task = tasks.findOrCreate(nowMicros, submission.owner(), submission.task());
        task.submit(nowMicros, submission);
        tasks.addWaiting(task);
        schedule.markChanged(task);
    }

    /** The task enters the admission queue as this request. */
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

    /** The policy reported why it keeps the request pending. */
    public void pending(Pending report) {
        tasks.findByRequest(report.requestId())
                .filter(TaskRecord::isWaiting)
                .ifPresent(
                        task -> {
                            task.setPolicyReport(report);
                            schedule.markChanged(task);
                        });
    }

    /** The request is offered to a machine. */
    public void attemptStarted(String request, String machine) {
        tasks.findByRequest(request)
                .ifPresent(
                        task -> {
                            task.startAttempt(machine);
                            schedule.markChanged(task);
                        });
    }

    /** A machine rejected the offer; {@link #attemptEnded} follows. */
    public void offerRejected(String request, String machine, RejectionReason reason) {
        tasks.findByRequest(request).ifPresent(task -> task.rejectOffer(machine, reason));
    }

    /** The attempt at the machine ended. */
    public void attemptEnded(String request, String machine, AttemptOutcome outcome) {
        tasks.findByRequest(request)
                .filter(TaskRecord::isWaiting)
                .ifPresent(
                        task -> {
                            task.endAttempt(machine, outcome);
                            schedule.markChanged(task);
                        });
    }

    /** The request's stage in the admission queue changed. */
    public void stageChanged(String request) {
        tasks.findByRequest(request).ifPresent(schedule::markChanged);
    }

    /**
     * The result of a submission is known. A task that is not known yet is one that the placer
     * adopted: it ran before this placer started.
     *
     * @param machine where the task is placed; empty for none
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

    /** A placed task has finished. */
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

    // Time.

    /**
     * Evaluates the reasons of tasks that an event concerned, and of some of the others; evicts old
     * records. To be called several times a second.
     *
     * @param changed receives each task whose reason or state may have changed
     */
    public void tick(long nowMicros, Consumer<ReasonChanged> changed) {
        for (TaskRecord task : schedule.takeChanged()) {
            evaluate(nowMicros, task);
            changed.accept(task.toNotification());
        }
        for (TaskRecord task : schedule.takeSweepBatch(tasks.waiting())) {
            Reason before = task.reason();
            evaluate(nowMicros, task);
            if (task.isWaiting() && !isSameReason(before, task.reason())) {
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

    /** {@code after} is the reason of a waiting task that has been evaluated: never null. */
    private static boolean isSameReason(Reason before, Reason after) {
        return before != null
                && before.kind() == after.kind()
                && before.evidence().equals(after.evidence());
    }

    // Queries.

    /**
     * Explains a task of an owner. If the owner has no such task, the state is UNKNOWN and nothing
     * else is set.
     */
    public Explanation explain(long nowMicros, String owner, String taskName) {
        Optional<TaskRecord> known = tasks.find(owner, taskName);
        if (known.isEmpty()) {
            return new Explanation(owner, taskName, "", State.UNKNOWN, null, 0, 0, 0, List.of());
        }
        TaskRecord task = known.get();
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

    /** The reason of a waiting request; null if it does not wait or is not known. */
    public Reason reasonOf(long nowMicros, String request) {
        Optional<TaskRecord> task = tasks.findByRequest(request);
        task.ifPresent(known -> evaluate(nowMicros, known));
        return task.map(TaskRecord::reason).orElse(null);
    }

    /**
     * Explains waiting tasks, in the order of their submission.
     *
     * @param owner whose tasks; null for those of all owners
     * @param maxTasks bound of the result
     */
    public List<Explanation> waitingCount(long nowMicros, String owner, int maxTasks) {
        List<Explanation> explanations = new ArrayList<>();
        for (TaskRecord task : tasks.waiting()) {
            if (explanations.size() >= maxTasks) {
                break;
            }
            if (belongsTo(task, owner)) {
                explanations.add(explain(nowMicros, task.owner(), task.name()));
            }
        }
        return explanations;
    }

    /**
     * Number of waiting tasks by tenant and kind of reason, as of their last evaluation.
     *
     * @param owner whose tasks; null for those of all owners
     */
    public Map<String, Map<Kind, Integer>> countByReason(String owner) {
        Map<String, Map<Kind, Integer>> counts = new TreeMap<>();
        for (TaskRecord task : tasks.waiting()) {
            if (task.reason() != null && belongsTo(task, owner)) {
                counts.computeIfAbsent(task.tenant(), tenant -> new EnumMap<>(Kind.class))
                        .merge(task.reason().kind(), 1, Integer::sum);
            }
        }
        return Collections.unmodifiableMap(counts);
    }

    private static boolean belongsTo(TaskRecord task, String owner) {
        return owner == null || owner.equals(task.owner());
    }

    /** Number of waiting tasks. */
    public int waitingCount() {
        return tasks.waiting().size();
    }
}

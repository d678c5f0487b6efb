package thornferry.decisions.recovery;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskSpec;
import thornferry.decisions.requests.Uncertainty;

/**
 * Determines whether the tasks that earlier incarnations of this placer offered have run: from the
 * journal, if there is one, and from what machines remember when they register. A request for a
 * task that may have run waits until the machines that were offered it prove whether it ran. If
 * that can no longer be proven, the task counts as one that may have run. {@code AttemptEvidence}
 * lists what an inventory proves.
 *
 * <p>The tasks of this incarnation are recorded in the same way, as a compacted journal must
 * contain them. The class does no I/O and reads no clock; times are microseconds since 1970.
 */
public final class Recovery {
    /**
     * The limits of recovery.
     *
     * @param retentionMicros the time for which a result is retained after the task has failed or
     *     terminated
     * @param maxWaitMicros the maximum wait of a request: the time after an offer in which its
     *     owner may still request the task again
     * @param goneAfterMicros the time after the start by which a machine must have registered;
     *     otherwise the tasks placed there are lost
     * @param maxTasks the maximum number of known tasks; beyond it, old completed tasks are dropped
     * @param journaled whether a complete journal records what earlier incarnations offered
     */
    public record Limits(
            long retentionMicros,
            long maxWaitMicros,
            long goneAfterMicros,
            int maxTasks,
            boolean journaled) {
        public Limits {
            requirePositive("retentionMicros", retentionMicros);
            requirePositive("maxWaitMicros", maxWaitMicros);
            requirePositive("goneAfterMicros", goneAfterMicros);
            requirePositive("maxTasks", maxTasks);
        }

        private static void requirePositive(String field, long value) {
            if (value <= 0) {
                throw new IllegalArgumentException(
                        "recovery limit " + field + " must be above 0, is " + value);
            }
        }

        /** Returns the time for which machines must remember the attempts that ended there. */
        public long machineRetentionMicros() {
            return retentionMicros + maxWaitMicros;
        }
    }

    /** An action for the caller, to be carried out in the order of receipt. */
    public sealed interface Action {}

    /**
     * An earlier incarnation completed a request with this result.
     *
     * @param terminationCause null while the task is not known to have terminated
     */
    public record Restored(
            String owner,
            String tenant,
            TaskSpec spec,
            RequestResult result,
            String machine,
            String reason,
            TerminationCause terminationCause)
            implements Action {}

    /**
     * An earlier incarnation placed the task on this machine, and it has terminated.
     *
     * @param alreadyNotified whether the owner may have been notified before; if so, and no request
     *     waits for the task, its termination is retained without a notification
     */
    public record FinishedEarlier(
            String owner,
            String tenant,
            TaskSpec spec,
            String machine,
            TerminationCause terminationCause,
            boolean alreadyNotified)
            implements Action {}

    /** The task was cancelled after its start in an earlier incarnation: its request fails. */
    public record CancelledAfterStart(String owner, String tenant, TaskSpec spec, String reason)
            implements Action {}

    /** No attempt of the task ever ran: a request that waits for this proof may be dispatched. */
    public record ProvenNotRun(String owner, String task) implements Action {}

    /** It can no longer be proven whether the task ran: a request that waits for proof fails. */
    public record BecameIndeterminate(String owner, String task, String machine)
            implements Action {}

    /** The reason of a failure as clients receive and may match it; it must not be changed. */
    private static final String CANCELLED_AFTER_START = "it had started and was withdrawn";

    private final Limits limits;
    private final JournaledTasks tasks;

    /** The keys of unsettled tasks, by each machine that can prove whether or how they ran. */
    private final Map<String, Set<String>> unsettledKeysByMachine = new HashMap<>();

    private boolean absentMachinesAwaited;
    private long machinesGoneAtMicros;

    /** Creates an instance without tasks. {@link #apply} is called next, then {@link #begin}. */
    public Recovery(Limits limits) {
        this.limits = limits;
        this.tasks = new JournaledTasks(limits);
    }

    // ---- the journal ----
    /** Applies a record that was read from the journal or that this incarnation writes to it. */
    public void apply(JournalRecord journalRecord) {
        tasks.apply(journalRecord);
    }

    /** Returns the fewest records that hold the state of all tasks, for a compacted journal. */
    public List<JournalRecord> snapshot() {
        return tasks.snapshot();
    }

    /**
     * Begins this incarnation after the journal has been read. From now on, tasks whose attempts
     * have no outcome are uncertain, and placed tasks wait for their machines to register.
     */
    public void begin(long now, Consumer<Action> actions) {
        machinesGoneAtMicros = now + limits.goneAfterMicros();
        absentMachinesAwaited = true;
        for (TaskState task : tasks.all()) {
            if (task.isExpired(now)) {
                tasks.remove(task);
                continue;
            }
            // a record that was written with a clock ahead of this one counts as written now;
            // otherwise its task could be retained for ever
            task.expireAtLatest(now + limits.machineRetentionMicros());
            task.beginIncarnation();
            if (task.isCompleted()) {
                actions.accept(restoredResult(task));
            }
            if (task.isUnsettled()) {
                for (String machine : task.machinesWithProof()) {
                    unsettledKeysByMachine
                            .computeIfAbsent(machine, name -> new LinkedHashSet<>())
                            .add(task.key());
                }
            }
        }
    }

    private static Restored restoredResult(TaskState task) {
        JournalRecord.Completed completed = task.completed();
        JournalRecord.Finished finished = task.finished();
        return new Restored(
                task.owner(),
                task.tenant(),
                task.spec(),
                completed.result(),
                completed.machine(),
                completed.reason(),
                finished == null ? null : finished.terminationCause());
    }

    // ---- queries ----
    /**
     * Returns whether a task may have run in earlier incarnations. The caller must take this into
     * account before it dispatches the task.
     */
    public Uncertainty uncertaintyOf(String owner, String task) {
        TaskState state = tasks.find(owner, task);
        return state == null ? Uncertainty.NONE : state.uncertainty();
    }

    /**
     * Returns the machine whose proof about an uncertain task is missing or is no longer possible,
     * or an empty string if there is none.
     */
    public String machineWithMissingProof(String owner, String task) {
        TaskState state = tasks.find(owner, task);
        return state == null ? "" : state.machineAwaited();
    }

    /** Returns the limits given at construction. */
    public Limits limits() {
        return limits;
    }

    /** Returns the number of known tasks. */
    public int size() {
        return tasks.size();
    }

    // ---- machines ----
    /**
     * Processes the inventory of a machine that registers. The caller must have adopted the
     * attempts that the machine has.
     *
     * @param isOwnAttempt matches attempts of this incarnation, which {@code AttemptTracker}
     *     follows
     */
    public void machineRegistered(
            long now,
            MachineInventory inventory,
            Predicate<String> isOwnAttempt,
            Consumer<Action> actions) {
        for (RetainedAttempt attempt : inventory.retainedAttempts()) {
            boolean mustNotStartTwice = attempt.idempotency() != Idempotency.IDEMPOTENT;
            if (mustNotStartTwice && !isOwnAttempt.test(attempt.attempt())) {
                evaluateRetained(now, inventory.machine(), attempt, actions);
            }
        }
        Set<String> unsettledKeys =
                unsettledKeysByMachine.getOrDefault(inventory.machine(), Set.of());
        for (String key : List.copyOf(unsettledKeys)) {
            TaskState task = tasks.find(key);
            if (task == null || !task.isUnsettled()) {
                unsettledKeys.remove(key);
            } else if (task.isPlaced()) {
                // the task would have been adopted if the machine had it, and the machine does not
                // remember its end
                actions.accept(lostTask(task, inventory.machine()));
            } else {
                evaluateMissing(now, task, inventory, actions);
            }
        }
    }

    private void evaluateRetained(
            long now, String machine, RetainedAttempt attempt, Consumer<Action> actions) {
        TaskState task = tasks.find(attempt.owner(), attempt.spec().id());
        boolean settled = task != null && !task.isUnsettled();
        if (settled) {
            return; // it is known whether the task ran, or this incarnation offers it
        }
        String tenant = task == null ? "" : task.tenant();
        switch (AttemptEvidence.of(attempt)) {
            case TERMINATED -> handleTermination(now, machine, attempt, task, actions);
            case CANCELLED_AFTER_START -> {
                if (task != null && task.isPlaced()) {
                    TerminationCause cause = TerminationCause.STOPPED;
                    actions.accept(finishedEarlier(attempt, tenant, machine, cause, false));
                } else {
                    actions.accept(
                            new CancelledAfterStart(
                                    attempt.owner(),
                                    tenant,
                                    attempt.spec(),
                                    CANCELLED_AFTER_START));
                }
            }
            default -> {
                if (task != null && task.isOutstanding(attempt.attempt())) {
                    recordNeverRan(task, attempt.attempt(), actions);
                }
            }
        }
    }

    private void handleTermination(
            long now,
            String machine,
            RetainedAttempt attempt,
            TaskState task,
            Consumer<Action> actions) {
        if (task != null) {
            task.settleAttempt(attempt.attempt());
        }
        String tenant = task == null ? "" : task.tenant();
        boolean alreadyNotified = task == null && mayHaveBeenNotified(now, attempt);
        TerminationCause cause = terminationCause(attempt.status());
        actions.accept(finishedEarlier(attempt, tenant, machine, cause, alreadyNotified));
    }

    /**
     * Returns whether the owner of a task that is not in the journal may have been notified of its
     * end. Without a journal, only the time since its end is known.
     */
    private boolean mayHaveBeenNotified(long now, RetainedAttempt attempt) {
        return limits.journaled() || attempt.endedAtMicros() < now - limits.retentionMicros();
    }

    private static TerminationCause terminationCause(AttemptStatus status) {
        return status == AttemptStatus.COMPLETED
                ? TerminationCause.COMPLETED
                : TerminationCause.EVICTED;
    }

    private static FinishedEarlier finishedEarlier(
            RetainedAttempt attempt,
            String tenant,
            String machine,
            TerminationCause cause,
            boolean alreadyNotified) {
        return new FinishedEarlier(
                attempt.owner(), tenant, attempt.spec(), machine, cause, alreadyNotified);
    }

    private static FinishedEarlier lostTask(TaskState task, String machine) {
        return new FinishedEarlier(
                task.owner(), task.tenant(), task.spec(), machine, TerminationCause.LOST, false);
    }

    /** Evaluates the attempts of a task that a machine was offered and does not have. */
    private void evaluateMissing(
            long now, TaskState task, MachineInventory inventory, Consumer<Action> actions) {
        task.outstandingAttempts()
                .forEach(
                        (attempt, offer) -> {
                            if (!offer.machine().equals(inventory.machine())
                                    || inventory.heldAttempts().contains(attempt)) {
                                return;
                            }
                            AttemptEvidence evidence =
                                    AttemptEvidence.ofMissing(
                                            now, offer, task.idempotency(), inventory);
                            if (evidence == AttemptEvidence.NEVER_RAN) {
                                recordNeverRan(task, attempt, actions);
                            } else {
                                markIndeterminate(task, inventory.machine(), actions);
                            }
                        });
    }

    private static void markIndeterminate(
            TaskState task, String machine, Consumer<Action> actions) {
        task.markIndeterminate(machine);
        actions.accept(new BecameIndeterminate(task.owner(), task.spec().id(), machine));
    }

    private void recordNeverRan(TaskState task, String attempt, Consumer<Action> actions) {
        task.settleAttempt(attempt);
        if (!task.hasOutstandingAttempts()) {
            tasks.remove(task);
            actions.accept(new ProvenNotRun(task.owner(), task.spec().id()));
        }
    }

    // ---- time ----
    /**
     * Drops expired results, and declares tasks lost that are placed on machines that have not
     * registered in time.
     */
    public void tick(long now, Consumer<Action> actions) {
        if (absentMachinesAwaited && now >= machinesGoneAtMicros) {
            absentMachinesAwaited = false;
            for (TaskState task : tasks.all()) {
                if (task.isUnsettled() && task.isPlaced()) {
                    actions.accept(lostTask(task, task.completed().machine()));
                }
            }
        }
        tasks.removeExpired(now);
    }
}

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
 * What became of the tasks that earlier incarnations of this placer offered: from the journal, as
 * far as there is one, and from what machines remember when they register. A request for a task
 * that may have run waits until the machines concerned prove that it did or did not; what cannot be
 * proven any more counts as may have run. {@code AttemptEvidence} lists what proves what.
 *
 * <p>The tasks of this incarnation are followed in the same way, as a compacted journal must
 * contain them. The class does no I/O and reads no clock; times are microseconds since 1970.
 */
public final class Recovery {
    /**
     * The limits of recovery.
     *
     * @param retentionMicros how long a result is retained after the task has failed or terminated
     * @param maxWaitMicros the maximum wait of a request: how long after an offer its owner may
     *     still request the task again
     * @param goneAfterMicros a machine that has not registered so long after the start is gone, and
     *     tasks placed there are lost
     * @param maxTasks tasks known at once; beyond it the oldest completed ones are dropped
     * @param journaled whether a complete journal says what earlier incarnations offered
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
                        "recovery limit " + field + " must be above 0: " + value);
            }
        }

        /** How long machines must remember what they ran. */
        public long machineRetentionMicros() {
            return retentionMicros + maxWaitMicros;
        }
    }

    /** What the caller is to do; actions are to be carried out in the order in which they come. */
    public sealed interface Action {}

    /**
     * An earlier incarnation gave this result.
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
     * @param alreadyNotified its owner may have been notified before: where no request waits, it is
     *     retained without a notification
     */
    public record FinishedEarlier(
            String owner,
            String tenant,
            TaskSpec spec,
            String machine,
            TerminationCause terminationCause,
            boolean alreadyNotified)
            implements Action {}

    /** The task started in an earlier incarnation and was cancelled: its result is a failure. */
    public record Failed(String owner, String tenant, TaskSpec spec, String reason)
            implements Action {}

    /** No attempt of the task ever ran: a request that waits for this may go on. */
    public record ProvenNotRun(String owner, String task) implements Action {}

    /** Nothing can prove any more whether the task ran: a request that waits for this fails. */
    public record BecameIndeterminate(String owner, String task, String machine)
            implements Action {}

    /** Reaches clients as the reason of a result: must not be changed. */
    private static final String CANCELLED_AFTER_START = "it had started and was withdrawn";

    private final Limits limits;
    private final JournaledTasks tasks;

    /** Keys of unsettled tasks by the machines that can prove what became of them. */
    private final Map<String, Set<String>> unsettledByMachine = new HashMap<>();

    private boolean absentMachinesAwaited;
    private long machinesGoneAtMicros;

    /** Starts without any task; {@link #apply} is next, then {@link #begin}. */
    public Recovery(Limits limits) {
        this.limits = limits;
        this.tasks = new JournaledTasks(limits);
    }

    // ---- the journal ----
    /** Takes a record: when the journal is read, and when this incarnation writes it. */
    public void apply(JournalRecord journalRecord) {
        tasks.apply(journalRecord);
    }

    /** The fewest records that say all this: what a compacted journal begins with. */
    public List<JournalRecord> snapshot() {
        return tasks.snapshot();
    }

    /**
     * The journal has been read. From now on, tasks whose attempts have no outcome are uncertain,
     * and placed tasks wait for their machines.
     */
    public void begin(long now, Consumer<Action> actions) {
        machinesGoneAtMicros = now + limits.goneAfterMicros();
        absentMachinesAwaited = true;
        for (TaskState task : tasks.all()) {
            if (task.isExpired(now)) {
                tasks.remove(task);
                continue;
            }
            // a journal written with a clock ahead of this one must not retain tasks for ever: what
            // lies in the future counts as of now
            task.expireAtLatest(now + limits.machineRetentionMicros());
            task.beginIncarnation();
            if (task.isCompleted()) {
                actions.accept(restored(task));
            }
            if (task.isUnsettled()) {
                for (String machine : task.machinesWithProof()) {
                    unsettledByMachine
                            .computeIfAbsent(machine, name -> new LinkedHashSet<>())
                            .add(task.key());
                }
            }
        }
    }

    private static Restored restored(TaskState task) {
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
    /** Whether a task may have run in earlier incarnations: to be known before it is dispatched. */
    public Uncertainty uncertaintyOf(String owner, String task) {
        TaskState state = tasks.find(owner, task);
        return state == null ? Uncertainty.NONE : state.uncertainty();
    }

    /**
     * The machine whose proof is missing, or cannot come any more, for an uncertain task; empty for
     * none.
     */
    public String machineAwaited(String owner, String task) {
        TaskState state = tasks.find(owner, task);
        return state == null ? "" : state.machineAwaited();
    }

    /** The limits given at construction. */
    public Limits limits() {
        return limits;
    }

    /** The number of tasks known. */
    public int size() {
        return tasks.size();
    }

    // ---- machines ----
    /**
     * A machine registers. The attempts that it has must have been adopted before.
     *
     * @param isOwnAttempt recognizes attempts of this incarnation, which are not judged here
     */
    public void machineRegistered(
            long now,
            MachineInventory inventory,
            Predicate<String> isOwnAttempt,
            Consumer<Action> actions) {
        for (RetainedAttempt attempt : inventory.retainedAttempts()) {
            boolean relevant = attempt.idempotency() != Idempotency.IDEMPOTENT;
            if (relevant && !isOwnAttempt.test(attempt.attempt())) {
                judgeRetained(now, inventory.machine(), attempt, actions);
            }
        }
        Set<String> unsettled = unsettledByMachine.getOrDefault(inventory.machine(), Set.of());
        for (String key : List.copyOf(unsettled)) {
            TaskState task = tasks.find(key);
            if (task == null || !task.isUnsettled()) {
                unsettled.remove(key);
            } else if (task.isPlaced()) {
                // it would have been adopted if the machine still had it, and the machine does not
                // remember its end
                actions.accept(lost(task, inventory.machine()));
            } else {
                judgeMissing(now, task, inventory, actions);
            }
        }
    }

    private void judgeRetained(
            long now, String machine, RetainedAttempt attempt, Consumer<Action> actions) {
        TaskState task = tasks.find(attempt.owner(), attempt.spec().id());
        boolean settled = task != null && !task.isUnsettled();
        if (settled) {
            return; // this incarnation has a result of its own
        }
        String tenant = task == null ? "" : task.tenant();
        switch (AttemptEvidence.of(attempt)) {
            case TERMINATED -> terminatedEarlier(now, machine, attempt, task, actions);
            case CANCELLED_AFTER_START -> {
                if (task != null && task.isPlaced()) {
                    TerminationCause cause = TerminationCause.STOPPED;
                    actions.accept(finished(attempt, tenant, machine, cause, false));
                } else {
                    actions.accept(
                            new Failed(
                                    attempt.owner(),
                                    tenant,
                                    attempt.spec(),
                                    CANCELLED_AFTER_START));
                }
            }
            default -> {
                if (task != null && task.isOutstanding(attempt.attempt())) {
                    attemptNeverRan(task, attempt.attempt(), actions);
                }
            }
        }
    }

    private void terminatedEarlier(
            long now,
            String machine,
            RetainedAttempt attempt,
            TaskState task,
            Consumer<Action> actions) {
        if (task != null) {
            task.settleAttempt(attempt.attempt());
        }
        String tenant = task == null ? "" : task.tenant();
        boolean alreadyNotified = task == null && wasNotified(now, attempt);
        TerminationCause cause = terminationCause(attempt.status());
        actions.accept(finished(attempt, tenant, machine, cause, alreadyNotified));
    }

    /**
     * Whether the owner of a task that the journal does not know may have been notified of its end.
     * Without a journal only the time since its end is known.
     */
    private boolean wasNotified(long now, RetainedAttempt attempt) {
        return limits.journaled() || attempt.endedAtMicros() < now - limits.retentionMicros();
    }

    private static TerminationCause terminationCause(AttemptStatus status) {
        return status == AttemptStatus.COMPLETED
                ? TerminationCause.COMPLETED
                : TerminationCause.EVICTED;
    }

    private static FinishedEarlier finished(
            RetainedAttempt attempt,
            String tenant,
            String machine,
            TerminationCause cause,
            boolean alreadyNotified) {
        return new FinishedEarlier(
                attempt.owner(), tenant, attempt.spec(), machine, cause, alreadyNotified);
    }

    private static FinishedEarlier lost(TaskState task, String machine) {
        return new FinishedEarlier(
                task.owner(), task.tenant(), task.spec(), machine, TerminationCause.LOST, false);
    }

    /** Judges the attempts of a task that a machine should have or remember, and does not. */
    private void judgeMissing(
            long now, TaskState task, MachineInventory inventory, Consumer<Action> actions) {
        task.outstanding()
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
                                attemptNeverRan(task, attempt, actions);
                            } else {
                                becameIndeterminate(task, inventory.machine(), actions);
                            }
                        });
    }

    private static void becameIndeterminate(
            TaskState task, String machine, Consumer<Action> actions) {
        task.becomeIndeterminate(machine);
        actions.accept(new BecameIndeterminate(task.owner(), task.spec().id(), machine));
    }

    private void attemptNeverRan(TaskState task, String attempt, Consumer<Action> actions) {
        task.settleAttempt(attempt);
        if (!task.hasOutstanding()) {
            tasks.remove(task);
            actions.accept(new ProvenNotRun(task.owner(), task.spec().id()));
        }
    }

    // ---- time ----
    /**
     * Lets time pass: expired results are dropped, and tasks placed on machines that have not
     * registered in time are lost.
     */
    public void tick(long now, Consumer<Action> actions) {
        if (absentMachinesAwaited && now >= machinesGoneAtMicros) {
            absentMachinesAwaited = false;
            for (TaskState task : tasks.all()) {
                if (task.isUnsettled() && task.isPlaced()) {
                    actions.accept(lost(task, task.completed().machine()));
                }
            }
        }
        tasks.removeExpired(now);
    }
}

package thornferry.decisions.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskKey;
import thornferry.decisions.requests.TaskSpec;
import thornferry.decisions.requests.Uncertainty;

/** What the journal says of a task, and what is proven of it since the start of the placer. */
final class TaskState {
    /** The expiry of a task that runs as far as is known. */
    static final long NEVER = Long.MAX_VALUE;

    /** Whether it is known what became of a task in earlier incarnations of the placer. */
    private enum Certainty {
        /** It is known, or the task is one of this incarnation only. */
        SETTLED,
        /** It is for machines to prove that have not registered yet. */
        AWAITING_PROOF,
        /** It is not known, and the machine that could have proven it cannot. */
        INDETERMINATE
    }

    private final String owner;
    private final String tenant;
    private final TaskSpec spec;
    private final Idempotency idempotency;
    private final Map<String, OutstandingAttempt> outstanding = new LinkedHashMap<>();
    private JournalRecord.Completed completed; // null without a result
    private JournalRecord.Finished finished; // null until the placed task has terminated
    private Certainty certainty = Certainty.SETTLED;
    private String indeterminateMachine = "";
    private long expiresAtMicros;

    TaskState(String owner, String tenant, TaskSpec spec, Idempotency idempotency) {
        this.owner = owner;
        this.tenant = tenant;
        this.spec = spec;
        this.idempotency = idempotency;
    }

    // ---- what the journal says ----
    void offered(String attempt, OutstandingAttempt offer) {
        outstanding.put(attempt, offer);
    }

    /** An attempt ran, or never did; in either case it is not outstanding any more. */
    void settleAttempt(String attempt) {
        outstanding.remove(attempt);
    }

    void complete(JournalRecord.Completed result) {
        completed = result;
        finished = null;
        certainty = Certainty.SETTLED;
    }

    void finish(JournalRecord.Finished termination) {
        finished = termination;
        certainty = Certainty.SETTLED;
        outstanding.clear();
    }

    /** The fewest records from which this can be read again. */
    List<JournalRecord> records() {
        List<JournalRecord> records = new ArrayList<>();
        outstanding.forEach(
                (attempt, offer) ->
                        records.add(
                                new JournalRecord.Offered(
                                        offer.offeredAtMicros(),
                                        attempt,
                                        owner,
                                        tenant,
                                        spec,
                                        idempotency,
                                        offer.machine(),
                                        offer.incarnation())));
        if (completed != null) {
            records.add(completed);
        }
        if (finished != null) {
            records.add(finished);
        }
        return records;
    }

    // ---- what is proven ----
    /**
     * The journal has been read: a task without a result, or placed and not terminated, awaits
     * proof of what became of it.
     */
    void beginIncarnation() {
        boolean ended = isPlaced() ? finished != null : completed != null;
        certainty = ended ? Certainty.SETTLED : Certainty.AWAITING_PROOF;
    }

    void becomeIndeterminate(String machine) {
        certainty = Certainty.INDETERMINATE;
        indeterminateMachine = machine;
    }

    /** Whether it is not known what became of it in earlier incarnations. */
    boolean isUnsettled() {
        return certainty != Certainty.SETTLED;
    }

    /** What a request for the task must take into account. */
    Uncertainty uncertainty() {
        if (completed != null) {
            return Uncertainty.NONE;
        }
        return switch (certainty) {
            case SETTLED -> Uncertainty.NONE;
            case AWAITING_PROOF -> Uncertainty.PENDING_PROOF;
            case INDETERMINATE -> Uncertainty.MAY_HAVE_RUN;
        };
    }

    /** The machine whose proof is missing, or cannot come any more; empty for none. */
    String machineAwaited() {
        return switch (certainty) {
            case SETTLED -> "";
            case AWAITING_PROOF ->
                    outstanding.values().stream()
                            .map(OutstandingAttempt::machine)
                            .findFirst()
                            .orElse("");
            case INDETERMINATE -> indeterminateMachine;
        };
    }

    /** The machines that can prove what became of the task. */
    Set<String> machinesWithProof() {
        Set<String> machines = new LinkedHashSet<>();
        if (isPlaced()) {
            machines.add(completed.machine());
        } else {
            outstanding.values().forEach(offer -> machines.add(offer.machine()));
        }
        return machines;
    }

    // ---- expiry ----
    void expireAt(long atMicros) {
        expiresAtMicros = atMicros;
    }

    /** Brings the expiry forward; one that never comes stays so. */
    void expireAtLatest(long atMicros) {
        if (expiresAtMicros != NEVER) {
            expiresAtMicros = Math.min(expiresAtMicros, atMicros);
        }
    }

    boolean isExpired(long now) {
        return now >= expiresAtMicros;
    }

    // ---- queries ----
    boolean isPlaced() {
        return completed != null && completed.result() == RequestResult.PLACED;
    }

    boolean isCompleted() {
        return completed != null;
    }

    boolean hasOutstanding() {
        return !outstanding.isEmpty();
    }

    boolean isOutstanding(String attempt) {
        return outstanding.containsKey(attempt);
    }

    /** A copy, by attempt, in the order of the offers. */
    Map<String, OutstandingAttempt> outstanding() {
        return new LinkedHashMap<>(outstanding);
    }

    /** The result, or null where there is none. */
    JournalRecord.Completed completed() {
        return completed;
    }

    /** The termination, or null where the task has not terminated. */
    JournalRecord.Finished finished() {
        return finished;
    }

    String key() {
        return TaskKey.of(owner, spec.id());
    }

    String owner() {
        return owner;
    }

    String tenant() {
        return tenant;
    }

    TaskSpec spec() {
        return spec;
    }

    Idempotency idempotency() {
        return idempotency;
    }
}

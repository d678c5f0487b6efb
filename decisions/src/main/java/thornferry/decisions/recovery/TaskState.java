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

/**
 * The state of a task according to the journal, and to what machines have proven about it since the
 * start of the placer.
 */
final class TaskState {
    /** The expiry of a placed task that is not known to have terminated. */
    static final long NO_EXPIRY = Long.MAX_VALUE;

    /** The degree to which it is known whether a task ran in earlier incarnations of the placer. */
    private enum Certainty {
        /** It is known whether the task ran, or the task belongs to this incarnation only. */
        SETTLED,
        /** Machines that have not registered yet may prove whether the task ran. */
        AWAITING_PROOF,
        /** It is unknown whether the task ran, and no machine can prove it any more. */
        INDETERMINATE
    }

    private final String owner;
    private final String tenant;
    private final TaskSpec spec;
    private final Idempotency idempotency;
    private final Map<String, OutstandingAttempt> outstandingById = new LinkedHashMap<>();
    private JournalRecord.Completed completed; // null until the task has a result
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

    // ---- state from the journal ----
    void recordOffer(String attempt, OutstandingAttempt offer) {
        outstandingById.put(attempt, offer);
    }

    /** Records that it is known whether the attempt ran, so that it is no longer outstanding. */
    void settleAttempt(String attempt) {
        outstandingById.remove(attempt);
    }

    void complete(JournalRecord.Completed result) {
        completed = result;
        finished = null;
        certainty = Certainty.SETTLED;
    }

    void finish(JournalRecord.Finished termination) {
        finished = termination;
        certainty = Certainty.SETTLED;
        outstandingById.clear();
    }

    /** Returns the fewest records from which this state can be built again. */
    List<JournalRecord> records() {
        List<JournalRecord> records = new ArrayList<>();
        outstandingById.forEach(
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

    // ---- certainty ----
    /**
     * Sets the certainty after the journal has been read. A task that has no result, or is placed
     * and not known to have terminated, awaits proof from its machines.
     */
    void beginIncarnation() {
        boolean ended = isPlaced() ? finished != null : completed != null;
        certainty = ended ? Certainty.SETTLED : Certainty.AWAITING_PROOF;
    }

    void markIndeterminate(String machine) {
        certainty = Certainty.INDETERMINATE;
        indeterminateMachine = machine;
    }

    /** Returns whether it is unknown if or how the task ran in earlier incarnations. */
    boolean isUnsettled() {
        return certainty != Certainty.SETTLED;
    }

    /** Returns whether a request for the task must assume that the task may have run. */
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

    /** Returns the machine whose proof is missing or is no longer possible, or an empty string. */
    String machineAwaited() {
        return switch (certainty) {
            case SETTLED -> "";
            case AWAITING_PROOF ->
                    outstandingById.values().stream()
                            .map(OutstandingAttempt::machine)
                            .findFirst()
                            .orElse("");
            case INDETERMINATE -> indeterminateMachine;
        };
    }

    /** Returns the machines that can prove whether the task ran, or how it terminated. */
    Set<String> machinesWithProof() {
        Set<String> machines = new LinkedHashSet<>();
        if (isPlaced()) {
            machines.add(completed.machine());
        } else {
            outstandingById.values().forEach(offer -> machines.add(offer.machine()));
        }
        return machines;
    }

    // ---- expiry ----
    void expireAt(long atMicros) {
        expiresAtMicros = atMicros;
    }

    /**
     * Sets the expiry to this time if this is earlier. A task without an expiry is left unchanged.
     */
    void expireAtLatest(long atMicros) {
        if (expiresAtMicros != NO_EXPIRY) {
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

    boolean hasOutstandingAttempts() {
        return !outstandingById.isEmpty();
    }

    boolean isOutstanding(String attempt) {
        return outstandingById.containsKey(attempt);
    }

    /** Returns a copy of the outstanding attempts by attempt id, in the order of the offers. */
    Map<String, OutstandingAttempt> outstandingAttempts() {
        return new LinkedHashMap<>(outstandingById);
    }

    /** Returns the record of the result, or null if there is none. */
    JournalRecord.Completed completed() {
        return completed;
    }

    /**
     * Returns the record of the termination, or null if the task is not known to have terminated.
     */
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

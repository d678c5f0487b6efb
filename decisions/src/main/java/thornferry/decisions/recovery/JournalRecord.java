package thornferry.decisions.recovery;

import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskSpec;

/**
 * One line of a placer's journal: what a later life of it must know so that no effect happens
 * twice. Written for tasks whose second start does harm (keyed and unsafe); {@code atMicros} is
 * microseconds since 1970.
 */
public sealed interface JournalRecord {
    long atMicros();

    /** An attempt is about to be offered: durable before the offer's first octet leaves. */
    record Offered(
            long atMicros,
            String attempt,
            String owner,
            String tenant,
            TaskSpec spec,
            Idempotency idempotency,
            String machine,
            long incarnation)
            implements JournalRecord {}

    /** An offered attempt is proven never to have run. */
    record NeverRan(long atMicros, String owner, String task, String attempt)
            implements JournalRecord {}

    /**
     * The owner's result, {@code PLACED} or {@code FAILED}; a refusal leaves nothing to remember.
     */
    record Completed(
            long atMicros,
            String owner,
            String tenant,
            TaskSpec spec,
            Idempotency idempotency,
            RequestResult result,
            String machine,
            String reason)
            implements JournalRecord {}

    /** The placed task is over. */
    record Finished(long atMicros, String owner, String task, TerminationCause terminationCause)
            implements JournalRecord {}
}

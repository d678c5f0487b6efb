package thornferry.decisions.recovery;

import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskSpec;

/**
 * A record of a placer's write-ahead journal: what a later incarnation must know so that no effect
 * happens twice. Written for tasks whose second start could do harm: non-idempotent ones, and those
 * idempotent by a key.
 */
public sealed interface JournalRecord {
    /** When the record was written, in microseconds since 1970. */
    long atMicros();

    /** An attempt is about to be offered; durable before the first byte of the offer is sent. */
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
     * The result of a request, {@code PLACED} or {@code FAILED}; a rejection is not recorded, as it
     * has no consequences.
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

    /** A placed task has terminated. */
    record Finished(long atMicros, String owner, String task, TerminationCause terminationCause)
            implements JournalRecord {}
}

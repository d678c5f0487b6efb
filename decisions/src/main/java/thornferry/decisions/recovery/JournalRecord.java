package thornferry.decisions.recovery;

import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskSpec;

/**
 * A record of a placer's write-ahead journal, from which a later incarnation learns which tasks may
 * have run, so that it does not start them again. Records are written only for tasks whose second
 * start could do harm: non-idempotent ones, and those that are idempotent with a key.
 */
public sealed interface JournalRecord {
    /** Returns the time at which the record was written, in microseconds since 1970. */
    long atMicros();

    /**
     * An attempt is about to be offered. The record is durable before the first byte of the offer
     * is sent.
     */
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
     * The result of a request, {@code PLACED} or {@code FAILED}. A rejection is not recorded: after
     * it, the task has not run and may be requested again.
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

package thornferry.decisions.recovery;

import thornferry.decisions.Attempts.Fate;
import thornferry.decisions.Intake.Result;
import thornferry.decisions.Intake.Wish;
import thornferry.decisions.Placement.Effect;

/**
 * One line of a placer's journal: what a later life of it must know so that no effect happens
 * twice. Written for tasks whose second start does harm (keyed and unsafe); {@code at} is
 * microseconds since 1970.
 */
public sealed interface Promise {
    long at();

    /** An attempt is about to be offered: durable before the offer's first octet leaves. */
    record Offered(
            long at,
            String attempt,
            String owner,
            String tenant,
            Wish wish,
            Effect effect,
            String machine,
            long incarnation)
            implements Promise {}

    /** An offered attempt is proven never to have run. */
    record NeverRan(long at, String owner, String task, String attempt) implements Promise {}

    /**
     * The owner's result, {@code PLACED} or {@code FAILED}; a refusal leaves nothing to remember.
     */
    record Answered(
            long at,
            String owner,
            String tenant,
            Wish wish,
            Effect effect,
            Result result,
            String machine,
            String reason)
            implements Promise {}

    /** The placed task is over. */
    record Finished(long at, String owner, String task, Fate fate) implements Promise {}
}

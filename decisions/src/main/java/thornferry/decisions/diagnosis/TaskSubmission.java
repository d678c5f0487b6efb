package thornferry.decisions.diagnosis;

/**
 * A task as it is submitted.
 *
 * @param idempotentWithKey whether the task is idempotent with its key only
 * @param awaitingInventory whether it waits for machines to report what they run, after a start of
 *     the placer
 * @param unreportedMachine the machine that may have run it before that start and has not reported
 *     yet; empty for none
 */
public record TaskSubmission(
        String owner,
        String tenant,
        String task,
        String idempotencyKey,
        boolean idempotentWithKey,
        boolean awaitingInventory,
        String unreportedMachine) {}

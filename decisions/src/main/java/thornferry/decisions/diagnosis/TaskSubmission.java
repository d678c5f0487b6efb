package thornferry.decisions.diagnosis;

/**
 * One submission of a task.
 *
 * @param idempotentWithKey whether the task is idempotent only with its key
 * @param awaitingInventory whether the task waits until machines report what they run, after a
 *     start of the placer
 * @param unreportedMachine machine that may have run the task before the placer started and has not
 *     reported yet; empty for none
 */
public record TaskSubmission(
        String owner,
        String tenant,
        String task,
        String idempotencyKey,
        boolean idempotentWithKey,
        boolean awaitingInventory,
        String unreportedMachine) {}

/**
 * What a placer must know after a restart so that no task with an effect runs twice: what its
 * earlier incarnations offered, and what proves that it did or did not run.
 *
 * <p>{@link thornferry.decisions.recovery.Recovery} is the entry point. It is fed with the {@link
 * thornferry.decisions.recovery.JournalRecord}s of earlier incarnations and of this one, and with
 * the {@link thornferry.decisions.recovery.MachineInventory} of each machine that registers. What
 * the journal says is stored in {@code JournaledTasks}, a {@code TaskState} for each task; what
 * proves what is in {@code AttemptEvidence}.
 *
 * <p>The package does no I/O and reads no clock. Unlike in the other packages, times are
 * microseconds since 1970, as they are compared between incarnations.
 */
package thornferry.decisions.recovery;

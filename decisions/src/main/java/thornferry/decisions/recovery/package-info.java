/**
 * Recovery after a restart of the placer: which tasks its earlier incarnations offered, and whether
 * each of them ran, so that no task that must not start twice does.
 *
 * <p>{@link thornferry.decisions.recovery.Recovery} is the entry point. It receives the {@link
 * thornferry.decisions.recovery.JournalRecord}s of earlier incarnations and of this one, and the
 * {@link thornferry.decisions.recovery.MachineInventory} of each machine that registers. {@code
 * JournaledTasks} holds a {@code TaskState} for each task in the journal, and {@code
 * AttemptEvidence} lists what an inventory proves about an attempt.
 *
 * <p>The package does no I/O and reads no clock. Unlike in the other packages, times are
 * microseconds since 1970, as they are compared between incarnations.
 */
package thornferry.decisions.recovery;

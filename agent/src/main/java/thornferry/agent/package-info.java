/**
 * Node agents with emulated tasks, for demonstrations, tests and measurements of a placer.
 *
 * <p>{@link thornferry.agent.AgentPool} runs many agents in one process. A {@link
 * thornferry.agent.NodeAgent} has one {@code PlacerConnection} for each placer and passes the
 * orders it receives to a {@code NodeEmulator}, which accepts or rejects offers and emulates the
 * start, run and end of tasks. The emulator does no I/O and reads no clock: the same seed and the
 * same calls give the same reports. The emulator uses an {@code OfferQueue}, a {@code
 * SlowStartCapacity}, a {@code ProgramCache} and a {@code ResourceUsage}. {@code AttemptHistory}
 * keeps the finished attempts that a node reports to a placer when it registers again.
 *
 * <p>Times are microseconds unless a name ends in another unit. The state of an agent is confined
 * to its event loop, except {@link thornferry.agent.ZoneIdempotencyKeys}, which the agents of a
 * process share.
 */
package thornferry.agent;

/**
 * What a placer knows about the machines that it is connected to, and what it still owes them.
 *
 * <p>{@link thornferry.decisions.machines.FailureDetector} is the only place that decides whether a
 * machine can be reached, has failed, or has to be connected to again.
 *
 * <p>{@link thornferry.decisions.machines.ProcessVerification} is the only place that decides which
 * process a connection leads to, when another one has started at its address. {@link
 * thornferry.decisions.machines.ClosedConnections} decides the same of closed ones while the
 * endpoint list service is silent.
 *
 * <p>{@link thornferry.decisions.machines.PendingStops} is the only place that knows which task a
 * machine still has to stop. {@link thornferry.decisions.machines.IdleConnectionEviction} decides
 * which machines stay connected if there are more machines than connections.
 *
 * <p>The classes of this package are not thread-safe; one event loop makes all calls. All times are
 * microseconds.
 */
package thornferry.decisions.machines;

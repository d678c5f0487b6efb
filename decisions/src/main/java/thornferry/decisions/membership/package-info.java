/**
 * Cluster membership: tracks which machines are registered, in which incarnation, and whether they
 * may receive offers.
 *
 * <p>{@link thornferry.decisions.membership.Membership} turns registrations, lost connections,
 * drains and the passage of time into the machine list of the placement policy. A machine is
 * identified by its name; each start of its agent is an incarnation, and a higher number supersedes
 * a lower one. {@link thornferry.decisions.membership.ClusterView} is a read model separate from
 * the policy. The view contains the size, the reported free capacity and the last rejection of each
 * listed machine, for the admission queue and for the diagnosis of pending tasks.
 *
 * <p>Connection states of a machine (each incarnation starts in {@code CONNECTED}):
 *
 * <pre>
 *   CONNECTED    --connection closed-----------------------&gt; DISCONNECTED
 *   DISCONNECTED --registers-------------------------------&gt; CONNECTED
 *   DISCONNECTED --no connection for goneAfterMicros-------&gt; LOST          (IncarnationEnded)
 *   LOST         --registers-------------------------------&gt; CONNECTED
 *   LOST         --another machine needs its entry---------&gt; removed       (MachineRemoved)
 * </pre>
 *
 * <p>A registration with a higher incarnation also ends the previous incarnation, unless that has
 * already ended. The state published to the policy ({@link
 * thornferry.decisions.placement.Placement.MachineState}) follows from the connection state, the
 * flap quarantine and the drain:
 *
 * <pre>
 *   not connected, or quarantined   GONE
 *   connected and draining          DRAINING
 *   connected                       READY
 * </pre>
 *
 * <p>The classes of this package are not thread-safe; one event loop makes all calls. All times are
 * microseconds of the placer's monotonic clock.
 */
package thornferry.decisions.membership;

/**
 * Cluster membership: which machines are registered, in which incarnation, and whether they may
 * receive offers.
 *
 * <p>{@link thornferry.decisions.membership.Membership} turns registrations, lost connections,
 * drains and the passing of time into the machine list of the placement policy. A machine is
 * identified by its name; each start of its agent is an incarnation, and a higher number supersedes
 * a lower one. {@link thornferry.decisions.membership.ClusterView} is a read model beside the
 * policy: size, reported free capacity and last rejection of each listed machine, for the admission
 * queue and for the diagnosis of pending tasks.
 *
 * <p>Connection states of a machine (each incarnation starts in {@code CONNECTED}):
 *
 * <pre>
 *   CONNECTED    --connection closed-----------------------&gt; DISCONNECTED
 *   DISCONNECTED --registers-------------------------------&gt; CONNECTED
 *   DISCONNECTED --no connection for goneAfterMicros-------&gt; LOST          (IncarnationEnded)
 *   LOST         --registers-------------------------------&gt; CONNECTED
 *   LOST         --another machine needs its entry---------&gt; removed       (MachineForgotten)
 * </pre>
 *
 * <p>A registration with a higher incarnation also ends the incarnation before it, unless that has
 * ended already. The state published to the policy ({@link
 * thornferry.decisions.placement.Placement.MachineState}) follows from the connection state, the
 * flap quarantine and the drain:
 *
 * <pre>
 *   not connected, or quarantined   GONE
 *   connected and draining          DRAINING
 *   connected                       READY
 * </pre>
 *
 * <p>Nothing here is thread-safe: one event loop makes all calls. All times are microseconds of the
 * placer's monotonic clock.
 */
package thornferry.decisions.membership;

/**
 * The placer server: it accepts STOMP connections of clients, operators and nodes and runs the
 * decision modules of {@code thornferry.decisions} on their requests and reports.
 *
 * <p>{@link thornferry.placer.Placer} starts one or more instances, each with a port, an event loop
 * and a journal of its own. In an instance, {@code PlacerServer} maps sessions and frames to calls
 * of {@code PlacerCore} and hands each frame to the handler of its role (client, operator, node).
 * {@code PlacerCore} holds the decision modules; the {@code ...Actions} classes carry out what a
 * module decides by calling the next module, the journal or the {@code PlacerOutput}. {@code
 * WriteAheadJournal} enforces that records are durable before the effects that depend on them.
 *
 * <p>No class here makes a scheduling decision. Except where a class says otherwise, everything of
 * an instance runs on its event loop. Times are microseconds unless a name ends in another unit.
 */
package thornferry.placer;

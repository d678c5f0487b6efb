/**
 * Measurements of placers on loopback: an open-loop load generator, and experiments that compare a
 * placer with and without its admission queue.
 *
 * <p>{@link thornferry.testbed.load.LoadGenerator} measures latencies at a given rate. {@link
 * thornferry.testbed.load.OverloadExperiment}, {@link
 * thornferry.testbed.load.ReservationExperiment} and {@link
 * thornferry.testbed.load.RetryStormExperiment} each start a placer and emulated nodes of their
 * own, described by an {@link thornferry.testbed.load.OverloadSetup}.
 */
package thornferry.testbed.load;

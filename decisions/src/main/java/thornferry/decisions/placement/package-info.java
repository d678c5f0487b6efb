/**
 * The placement policy, which decides which machine is offered which task and when a request is
 * rejected or failed.
 *
 * <p>{@link thornferry.decisions.placement.Placement} is the interface: its settings, events and
 * actions. {@link thornferry.decisions.placement.Policy} implements it and defines the order of the
 * steps; each step has its own class. The package does no I/O, reads no clock and draws random
 * numbers only from the seed in its settings, so that the same events always lead to the same
 * actions. All times and durations are in microseconds.
 *
 * <p>The package uses these methods:
 *
 * <ul>
 *   <li>Load is smoothed by a dual-mode Kalman filter with resets, which follows rising load fast
 *       and falling load slowly.
 *   <li>Only a random sample of the eligible machines is scored, with a size of about twice the
 *       square root of their number, so that placers with the same outdated information do not all
 *       choose the same machine; see Mitzenmacher, "The Power of Two Choices in Randomized Load
 *       Balancing" (2001), and Ousterhout et al., "Sparrow: Distributed, Low Latency Scheduling"
 *       (2013).
 *   <li>Outlier ejection with increasing ejection times, health checks that end an ejection, a
 *       limit on the fraction of ejected machines, and slow start are modeled on Envoy.
 *   <li>Filtering followed by scoring, with a reason for each machine that is filtered out, is
 *       modeled on the Kubernetes scheduler.
 *   <li>Placers agree on the preferred machines of a service without communication, by weighted
 *       rendezvous hashing (Thaler and Ravishankar, 1998).
 * </ul>
 */
package thornferry.decisions.placement;

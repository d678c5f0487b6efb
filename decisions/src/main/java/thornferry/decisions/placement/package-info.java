/**
 * The placement policy: which machine gets an offer of which task, and when a task is rejected.
 *
 * <p>{@link thornferry.decisions.placement.Placement} is the interface: settings, events and
 * actions. {@link thornferry.decisions.placement.Policy} implements it and owns the order of steps;
 * each step is a class of its own. The package does no I/O, reads no clock and draws random numbers
 * only from the seed of its settings, so that the same events always lead to the same actions. All
 * times and durations are microseconds.
 *
 * <p>The methods and where they come from:
 *
 * <ul>
 *   <li>Load is smoothed by a dual-mode Kalman filter with resets, which follows rises fast and
 *       falls slowly.
 *   <li>Only a random sample of about the square root of the eligible machines is scored, so that
 *       placers with the same late information do not all choose the same machine: see
 *       Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001), and
 *       Ousterhout et al., "Sparrow: Distributed, Low Latency Scheduling" (2013).
 *   <li>Outlier ejection with growing ejection times, health checks that end them, a limit on the
 *       part of machines that may be ejected, and slow start follow those of Envoy.
 *   <li>Filtering, then scoring, with a reason for each machine filtered out follows the Kubernetes
 *       scheduler.
 *   <li>Placers agree on the machines of a service without communication by weighted rendezvous
 *       hashing (Thaler and Ravishankar, 1998).
 * </ul>
 */
package thornferry.decisions.placement;

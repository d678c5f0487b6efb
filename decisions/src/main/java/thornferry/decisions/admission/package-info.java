/**
 * Admission control: which task the placement policy receives next, which tasks wait, and which are
 * rejected early. It never decides where a task runs.
 *
 * <p>{@link thornferry.decisions.admission.AdmissionQueue} is the entry point; one class beside it
 * holds each concern:
 *
 * <ul>
 *   <li>{@code QueueIndex} keeps the waiting requests by owner, tenant and age, and the usage that
 *       quotas are checked against;
 *   <li>{@code QuotaChecker} checks limits on tasks, cores, memory and rate by owner, tenant and
 *       site;
 *   <li>{@code FairShare} orders tenants by weighted dominant share (dominant resource fairness: A.
 *       Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types",
 *       NSDI 2011);
 *   <li>{@code DispatchWindow} bounds what the policy holds undecided, {@code Dispatcher} fills it
 *       and recalls requests that found no capacity;
 *   <li>{@code BackoffQueue} and {@code RetryBudget} delay requests that found no capacity and
 *       retries beyond their budget;
 *   <li>{@code CapacityReservation} holds small tasks back for a large one, with backfill;
 *   <li>{@code LoadShedder} and {@code OverloadController} detect overload and choose what to shed,
 *       after CoDel (K. Nichols and V. Jacobson, "Controlling Queue Delay", ACM Queue 2012).
 * </ul>
 *
 * <p>{@link thornferry.decisions.admission.LoginRateLimiter} is independent of the queue: it delays
 * password guessing.
 *
 * <p>Times are microseconds of a monotonic clock that the caller reads and passes in; nothing here
 * reads a clock, starts a thread or performs I/O, and no class is safe for use by several threads.
 */
package thornferry.decisions.admission;

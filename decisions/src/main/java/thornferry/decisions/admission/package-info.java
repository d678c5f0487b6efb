/**
 * Admission control: decides which task the placement policy receives next, which tasks wait, and
 * which are rejected early. Admission control never decides where a task runs.
 *
 * <p>{@link thornferry.decisions.admission.AdmissionQueue} is the entry point. Each other class has
 * one responsibility:
 *
 * <ul>
 *   <li>{@code QueueIndex} keeps the waiting requests by owner, tenant and age, and the usage that
 *       quotas are checked against;
 *   <li>{@code QuotaChecker} checks limits on tasks, cores, memory and rate by owner, tenant and
 *       site;
 *   <li>{@code FairShare} orders tenants by weighted dominant share (dominant resource fairness: A.
 *       Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types",
 *       NSDI 2011);
 *   <li>{@code DispatchWindow} bounds the number of requests that the policy holds without an
 *       attempt in flight; {@code Dispatcher} fills the window and recalls requests that found no
 *       capacity;
 *   <li>{@code BackoffQueue} and {@code RetryBudget} delay requests that found no capacity and
 *       retries beyond their budget;
 *   <li>{@code CapacityReservation} holds back small tasks in favour of a large one, with backfill;
 *   <li>{@code LoadShedder} and {@code OverloadController} detect overload and select the requests
 *       to shed, after CoDel (K. Nichols and V. Jacobson, "Controlling Queue Delay", ACM Queue
 *       2012).
 * </ul>
 *
 * <p>{@link thornferry.decisions.admission.LoginRateLimiter} is independent of the queue: it delays
 * password guessing.
 *
 * <p>Times are microseconds of a monotonic clock, which the caller reads and passes in. The classes
 * of this package do not read a clock, start threads or perform I/O, and are not thread-safe.
 */
package thornferry.decisions.admission;

/**
 * Placement requests of clients: their validation, their state from submission to result, and the
 * notifications that owners receive.
 *
 * <p>{@link thornferry.decisions.requests.RequestTracker} is the entry point. Behind it, {@code
 * RequestLifecycle} makes the state transitions of a {@code RequestEntry} (the states and allowed
 * transitions are in {@code RequestState}), and {@code RecoveredTasks} takes in what is known of
 * tasks of earlier incarnations of the placer. Each of the others has one concern:
 *
 * <ul>
 *   <li>{@code RequestSubmission}: what becomes of a submitted request;
 *   <li>{@code RequestValidator}: which requests are acceptable;
 *   <li>{@code RequestIndex}: requests by task and by request id;
 *   <li>{@code StartupSettling}: the wait after a start until machines have reported what runs;
 *   <li>{@code RequestDeadlines}: a result for each request in time, whatever the policy does;
 *   <li>{@code RetryBackoff}: the retry-after of rejections;
 *   <li>{@code RetainedResults}, {@code DroppedResults}: results for repeated requests, bounded;
 *   <li>{@code PendingNotifications}: notifications until they are delivered, bounded;
 *   <li>{@code RequestMessages}: the sentences that clients receive.
 * </ul>
 *
 * <p>The package does no I/O and reads no clock; the current time is an argument in microseconds.
 */
package thornferry.decisions.requests;

/**
 * Placement requests of clients: their validation, their states from submission to result, and the
 * notifications of their owners.
 *
 * <p>{@link thornferry.decisions.requests.RequestTracker} is the entry point. {@code
 * RequestLifecycle} performs the state transitions of a {@code RequestEntry}; {@code RequestState}
 * lists the states and the allowed transitions. {@code RecoveredTasks} processes what becomes known
 * about tasks of earlier incarnations of the placer. The other classes have one purpose each:
 *
 * <ul>
 *   <li>{@code RequestSubmission}: how a submitted request is answered;
 *   <li>{@code RequestValidator}: the checks of submitted requests;
 *   <li>{@code RequestIndex}: finds requests by task and by request id;
 *   <li>{@code StartupSettling}: the wait after a start until machines have reported their tasks;
 *   <li>{@code RequestDeadlines}: the times at which requests without a result fail;
 *   <li>{@code RetryBackoff}: the retry-after of rejections;
 *   <li>{@code RetainedResults}, {@code DroppedResults}: the results for repeated requests, bounded
 *       in number;
 *   <li>{@code PendingNotifications}: the notifications that are not delivered yet, bounded in
 *       number;
 *   <li>{@code RequestMessages}: the sentences that clients receive.
 * </ul>
 *
 * <p>The package does no I/O and reads no clock; the current time is an argument in microseconds.
 */
package thornferry.decisions.requests;

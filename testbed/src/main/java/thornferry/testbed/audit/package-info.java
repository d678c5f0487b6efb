/**
 * Checks a capture against the five rules of the service, without knowledge of the placer's code.
 *
 * <p>{@link thornferry.testbed.audit.TraceAuditor} reads the capture row by row. {@code
 * CaptureReader} turns each row into a typed event; handlers update the traced connections, tasks,
 * attempts and nodes; one checker for each rule reports violations:
 *
 * <ol>
 *   <li>every request has exactly one result, in time ({@code ResultChecker});
 *   <li>no task has its effect twice ({@code RetryChecker}, {@code DuplicateStartChecker});
 *   <li>a draining node gets no offers ({@code DrainChecker});
 *   <li>a node that warms up is not flooded ({@code SlowStartChecker});
 *   <li>a service is spread over groups of nodes ({@code SpreadChecker}).
 * </ol>
 */
package thornferry.testbed.audit;

/**
 * Diagnosis of pending tasks: the reason why each task is still pending, in terms that its owner
 * can act on.
 *
 * <p>{@link thornferry.decisions.diagnosis.PendingReasons} is the entry point. It is notified of
 * each event that concerns a task and keeps one {@code TaskRecord} for each task, in a {@code
 * TaskRecordStore} that bounds their number. A reason is always computed from the current state,
 * never from a log of events:
 *
 * <ul>
 *   <li>{@code ReasonEvaluator} evaluates the task's stage in the admission queue: blocked by a
 *       quota, queued, backing off, dispatched to the placement policy, or offered to a machine;
 *   <li>{@code ReasonClassifier} determines the kind of reason for a task that no machine can take
 *       now, from the policy's filter counts, the unavailable machines and the previous attempt;
 *   <li>{@code CapacityEstimator} estimates the filter counts from the cluster view while a request
 *       is backing off and the policy does not have it; {@code DiagnosisCache} shares the result
 *       between requests of the same shape;
 *   <li>{@code ReevaluationSchedule} selects the tasks to evaluate in one tick.
 * </ul>
 *
 * <p>The texts of sentences, evidence and end conditions are part of the wire protocol, because
 * clients match on them. They are defined in {@code EvidenceText}, {@code EndCondition} and {@code
 * ReasonFormatter} and must not change. A reason never contains anything about another owner's
 * tasks.
 *
 * <p>No class of this package is thread-safe: one event loop makes all calls. All times are
 * microseconds of the placer's monotonic clock.
 */
package thornferry.decisions.diagnosis;

/**
 * The attempts of a placement request: which of them were offered to which machine, and what became
 * of each.
 *
 * <p>{@link thornferry.decisions.attempts.AttemptTracker} receives what machines report about
 * attempts and what happens to their connections, and answers with actions for its caller. The
 * records of single attempts are in {@code Attempt}, the indexes over them in {@code AttemptIndex}.
 * The package does no I/O and reads no clock; the current time is an argument in microseconds.
 */
package thornferry.decisions.attempts;

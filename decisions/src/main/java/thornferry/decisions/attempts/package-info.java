/**
 * The attempts of a placement request, each from its offer to a machine to its outcome.
 *
 * <p>{@link thornferry.decisions.attempts.AttemptTracker} receives the reports of machines about
 * attempts and the changes of their connections, and returns actions for its caller to carry out.
 * {@code Attempt} holds the state of one attempt, and {@code AttemptIndex} finds attempts. The
 * package does no I/O and reads no clock; the current time is an argument in microseconds.
 */
package thornferry.decisions.attempts;

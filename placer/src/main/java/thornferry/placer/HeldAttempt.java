package thornferry.placer;

import thornferry.decisions.requests.TaskSpec;

/**
 * An attempt that a machine has accepted and not finished, as listed in its registration.
 *
 * @param running whether the task has started
 */
record HeldAttempt(String attempt, String owner, TaskSpec spec, boolean running) {}

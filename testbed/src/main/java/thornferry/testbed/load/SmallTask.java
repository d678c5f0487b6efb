package thornferry.testbed.load;

import thornferry.protocol.v1.Task;

/**
 * A task of an overload experiment and what it counts for when it is placed.
 *
 * @param tenant index of the tenant that requests it
 * @param task the request
 * @param priorityWeight of its class
 * @param coreSeconds cores multiplied by the run time in seconds
 */
record SmallTask(int tenant, Task task, double priorityWeight, double coreSeconds) {}

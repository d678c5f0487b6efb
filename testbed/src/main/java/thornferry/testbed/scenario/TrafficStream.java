package thornferry.testbed.scenario;

import java.util.OptionalLong;

/**
 * A stream of tasks of one class with exponential times between arrivals. Sizes, run times and
 * services of the tasks are drawn uniformly.
 *
 * @param taskClass name of the class
 * @param tasksPerSecond mean rate of the whole scenario, shared evenly by the placers
 * @param serviceCount number of services that the tasks belong to
 * @param cores requested cores of a task
 * @param memory requested memory of a task
 * @param runMillis run time of a task
 * @param maxWaitMillis how long a request may be pending; empty for the placer's default
 * @param maxAttempts how often a task is submitted if it is rejected or lost
 */
public record TrafficStream(
        String taskClass,
        double tasksPerSecond,
        int serviceCount,
        UniformRange cores,
        UniformRange memory,
        UniformRange runMillis,
        OptionalLong maxWaitMillis,
        int maxAttempts) {}

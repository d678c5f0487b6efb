package thornferry.testbed.load;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * A period of load at a constant rate.
 *
 * @param tasksPerSecond rate of requests, over all clients
 * @param duration how long requests are sent
 * @param meanVanishSeconds mean time between two clients whose connection breaks; empty for none
 */
public record LoadStep(
        double tasksPerSecond, Duration duration, OptionalDouble meanVanishSeconds) {}

package thornferry.testbed.load;

import java.util.SplittableRandom;

/** Draws the intervals between the arrivals of a Poisson process. */
final class ExponentialDistribution {
    private ExponentialDistribution() {}

    /** A number drawn from the exponential distribution with mean 1. */
    static double draw(SplittableRandom random) {
        return -Math.log(1 - random.nextDouble());
    }
}

package thornferry.testbed.scenario;

import java.util.SplittableRandom;

/** A uniform distribution from {@code min} to {@code max}. */
public record UniformRange(double min, double max) {
    /** Draws one value. */
    double draw(SplittableRandom random) {
        return min + random.nextDouble() * (max - min);
    }
}

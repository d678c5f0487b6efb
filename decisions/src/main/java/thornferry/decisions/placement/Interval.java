package thornferry.decisions.placement;

/** Arithmetic on closed intervals. */
final class Interval {
    private Interval() {}

    /** Returns the value from 0 to 1 that is nearest to the argument. */
    static double clampToUnit(double value) {
        return value < 0 ? 0 : Math.min(value, 1);
    }
}

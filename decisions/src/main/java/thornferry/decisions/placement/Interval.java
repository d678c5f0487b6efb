package thornferry.decisions.placement;

/** Arithmetic on intervals. */
final class Interval {
    private Interval() {}

    /** The nearest value from 0 to 1. */
    static double clampToUnit(double value) {
        return value < 0 ? 0 : Math.min(value, 1);
    }
}

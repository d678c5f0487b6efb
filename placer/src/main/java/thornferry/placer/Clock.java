package thornferry.placer;

/** A monotonic clock whose values are close to the wall-clock time. */
public interface Clock {
    /** Returns the current time in microseconds since 1970; never less than an earlier value. */
    long now();

    /**
     * Returns a clock that starts at the system's wall-clock time and advances with its monotonic
     * clock; later adjustments of the wall clock have no effect on it.
     */
    static Clock system() {
        long baseMicros = System.currentTimeMillis() * 1_000 - System.nanoTime() / 1_000;
        return () -> baseMicros + System.nanoTime() / 1_000;
    }
}

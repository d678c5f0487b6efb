package thornferry.testbed.diagnosis;

import java.util.concurrent.TimeUnit;

/** Measures elapsed time on the monotonic clock. */
final class Stopwatch {
    private final long startNanos = System.nanoTime();

    private Stopwatch() {}

    static Stopwatch start() {
        return new Stopwatch();
    }

    long elapsedMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    }

    long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}

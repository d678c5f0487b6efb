package thornferry.decisions.placement;

/** Units of time in microseconds, the unit of every time and duration in this package. */
final class Micros {
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;

    private Micros() {}
}

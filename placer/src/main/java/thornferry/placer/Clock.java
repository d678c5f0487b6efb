package thornferry.placer;

/** The one clock of an instance: microseconds that never go back, near to those since 1970. */
public interface Clock {
    long now();

    static Clock system() {
        long base = System.currentTimeMillis() * 1_000 - System.nanoTime() / 1_000;
        return () -> base + System.nanoTime() / 1_000;
    }
}

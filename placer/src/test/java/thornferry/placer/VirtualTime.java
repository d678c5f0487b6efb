package thornferry.placer;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** The time, the scheduled events and the random numbers of a simulation. */
final class VirtualTime {
    private static final long START_MICROS = 1_000 * SiteFixtures.SECOND;

    /**
     * A scheduled task.
     *
     * @param sequence the position among the events of the same time
     */
    record Event(long atMicros, long sequence, Runnable task) {}

    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros = START_MICROS;
    private long lastSequence;

    VirtualTime(long seed) {
        random = new SplittableRandom(seed);
    }

    long now() {
        return nowMicros;
    }

    void advanceTo(long toMicros) {
        nowMicros = toMicros;
    }

    void scheduleIn(long delayMicros, Runnable task) {
        scheduleAt(nowMicros + delayMicros, task);
    }

    void scheduleAt(long atMicros, Runnable task) {
        events.add(new Event(atMicros, ++lastSequence, task));
    }

    /** Removes and returns the next event that is due at or before a time. */
    Optional<Event> pollUntil(long untilMicros) {
        return !events.isEmpty() && events.peek().atMicros() <= untilMicros
                ? Optional.of(events.poll())
                : Optional.empty();
    }

    /** Returns a random number from {@code min} to {@code max}, both included. */
    long randomBetween(long min, long max) {
        return min + random.nextLong(max - min + 1);
    }

    /** Returns a random number from 0 to {@code bound - 1}. */
    int randomInt(int bound) {
        return random.nextInt(bound);
    }

    /** Returns true with a probability of one in {@code times}. */
    boolean oneIn(int times) {
        return random.nextInt(times) == 0;
    }

    boolean randomBoolean() {
        return random.nextBoolean();
    }
}

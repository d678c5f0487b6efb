package thornferry.decisions.machines;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Compares the pending stops with a model on random sequences of events. */
class PendingStopsProperties {
    private static final long LIFETIME_MICROS = 8_000_000;

    /** A stop is pending from its request until it is confirmed or has expired, in any order. */
    @Property(tries = 300, seed = "20261206")
    void stopIsPendingUntilConfirmedOrExpired(@ForAll long seed) {
        Random random = new Random(seed);
        PendingStops stops = new PendingStops();
        Map<String, Long> requestedAt = new HashMap<>(); // by machine and task
        long nowMicros = 0;
        for (int i = 0; i < 300; i++) {
            nowMicros += random.nextInt(600_000);
            String machine = "m" + random.nextInt(3);
            String task = "t" + random.nextInt(4);
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    stops.add(machine, task, true, nowMicros);
                    requestedAt.put(machine + task, nowMicros);
                }
                case 2 -> stops.markSent(machine, task, nowMicros);
                case 3 -> {
                    boolean wasPending = requestedAt.remove(machine + task) != null;
                    assertThat(stops.remove(machine, task)).isEqualTo(wasPending);
                }
                default -> {
                    stops.removeAll(machine);
                    requestedAt.keySet().removeIf(key -> key.startsWith(machine));
                }
            }
            long sweptAtMicros = nowMicros;
            stops.removeExpired(sweptAtMicros);
            requestedAt.values().removeIf(at -> at + LIFETIME_MICROS <= sweptAtMicros);
            for (String name : new String[] {"m0", "m1", "m2"}) {
                assertThat(stops.tasks(name).stream().map(id -> name + id))
                        .containsExactlyInAnyOrderElementsOf(
                                requestedAt.keySet().stream()
                                        .filter(key -> key.startsWith(name))
                                        .toList());
                assertThat(stops.isPending(name)).isEqualTo(!stops.tasks(name).isEmpty());
            }
        }
    }
}

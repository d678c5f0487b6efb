package thornferry.decisions.machines;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PendingStopsTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private final PendingStops stops = new PendingStops();

    /** Guards against a machine that is kept, and connected to, for a stop that has expired. */
    @Test
    void dropsStopThatHasExpired() {
        stops.add("b", "t", true, 1 * MICROS_PER_SECOND);
        stops.removeExpired(9 * MICROS_PER_SECOND - 1);
        assertThat(stops.isPending("b")).isTrue();
        stops.removeExpired(9 * MICROS_PER_SECOND);
        assertThat(stops.isPending("b")).isFalse();
    }

    /** Guards against a stop that counts as done once it is written. */
    @Test
    void retriesWithBackoffUntilConfirmed() {
        stops.add("a", "t", true, 0);
        assertThat(stops.isDue("a", 0)).isTrue();
        stops.markSent("a", "t", 0);
        assertThat(stops.isDue("a", MICROS_PER_SECOND - 1)).isFalse();
        assertThat(stops.isDue("a", MICROS_PER_SECOND)).isTrue();
        stops.markSent("a", "t", MICROS_PER_SECOND);
        assertThat(stops.isDue("a", 3 * MICROS_PER_SECOND - 1)).isFalse();
        assertThat(stops.isDue("a", 3 * MICROS_PER_SECOND)).isTrue();
        assertThat(stops.remove("a", "t")).isTrue();
        assertThat(stops.isPending("a")).isFalse();
        assertThat(stops.remove("a", "t")).isFalse();
    }

    @Test
    void returnsStopsOfOneMachineInOrder() {
        stops.add("a", "t1", true, 0);
        stops.add("b", "t2", true, 0);
        stops.add("a", "t3", true, 0);
        stops.add("a", "t1", true, 1);
        assertThat(stops.tasks("a")).containsExactly("t3", "t1");
        stops.removeAll("a");
        assertThat(stops.tasks("a")).isEmpty();
        assertThat(stops.tasks("b")).containsExactly("t2");
    }

    /** Guards against memory that grows with stops that no machine confirms. */
    @Test
    void dropsOldestStopAboveLimit() {
        for (int i = 0; i <= 256; i++) {
            stops.add("a", "t" + i, true, i);
        }
        assertThat(stops.tasks("a")).hasSize(256).doesNotContain("t0").contains("t1");
    }

    /** Guards against memory that grows with stops for machines that do not exist. */
    @Test
    void dropsStopsOfOldestUnlistedMachineAboveLimit() {
        stops.add("listed", "t", true, 0);
        for (int i = 0; i <= 512; i++) {
            stops.add("unlisted-" + i, "t", false, i);
        }
        assertThat(stops.isPending("listed")).isTrue();
        assertThat(stops.isPending("unlisted-0")).isFalse();
        assertThat(stops.isPending("unlisted-1")).isTrue();
        assertThat(stops.isPending("unlisted-512")).isTrue();
    }
}

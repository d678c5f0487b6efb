package thornferry.decisions.machines;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import thornferry.decisions.machines.IdleConnectionEviction.Candidate;
import thornferry.decisions.machines.IdleConnectionEviction.Purpose;

class IdleConnectionEvictionTest {
    private static final long NOW_MICROS = 10_000_000;
    private static final Candidate SPARE = new Candidate("spare", 9_000_000, false, true);
    private static final Candidate WITHOUT_TASKS =
            new Candidate("without-tasks", 8_000_000, true, false);
    private static final Candidate WITH_TASKS = new Candidate("with-tasks", 7_000_000, true, true);

    private static Optional<Candidate> victim(Purpose purpose, Candidate... candidates) {
        return IdleConnectionEviction.selectVictim(List.of(candidates), purpose, NOW_MICROS);
    }

    @Test
    void closesSpareConnectionsFirst() {
        assertThat(victim(Purpose.RUNNING_TASKS, WITH_TASKS, WITHOUT_TASKS, SPARE)).contains(SPARE);
        assertThat(victim(Purpose.HEALTH_CHECK, WITH_TASKS, WITHOUT_TASKS, SPARE)).contains(SPARE);
    }

    /** Guards against a machine with tasks that gets no connection beside idle machines. */
    @Test
    void prefersMachinesWithTasksToOthers() {
        assertThat(victim(Purpose.RUNNING_TASKS, WITH_TASKS, WITHOUT_TASKS))
                .contains(WITHOUT_TASKS);
        assertThat(victim(Purpose.OFFER, WITH_TASKS, WITHOUT_TASKS)).contains(WITHOUT_TASKS);
        assertThat(victim(Purpose.HEALTH_CHECK, WITH_TASKS, WITHOUT_TASKS)).isEmpty();
        assertThat(victim(Purpose.OFFER, WITH_TASKS)).isEmpty();
    }

    /** Guards against machines with tasks that are never connected because others always are. */
    @Test
    void machinesWithTasksTakeTurns() {
        Candidate recent = new Candidate("recent", NOW_MICROS - 1_999_999, true, true);
        assertThat(victim(Purpose.RUNNING_TASKS, recent)).isEmpty();
        assertThat(victim(Purpose.RUNNING_TASKS, recent, WITH_TASKS)).contains(WITH_TASKS);
        Candidate due = new Candidate("due", NOW_MICROS - 2_000_000, true, true);
        assertThat(victim(Purpose.RUNNING_TASKS, due)).contains(due);
    }

    @Test
    void closesLongestIdleOfEqualRank() {
        Candidate longer = new Candidate("longer", 1_000_000, false, false);
        assertThat(victim(Purpose.OFFER, SPARE, longer)).contains(longer);
    }
}

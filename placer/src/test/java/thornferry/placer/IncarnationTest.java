package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Many incarnations of a placer in virtual time, see {@link IncarnationSimulation}. No
 * non-idempotent task may start twice, no result may contradict an earlier one, and in the end each
 * request must have its result. {@code -Dlives=N} runs about N incarnations; {@code -Dseed=S}
 * begins with that seed.
 */
class IncarnationTest {
    private static final int DEFAULT_INCARNATIONS = 400;
    private static final long DEFAULT_SEED = 1;

    /** A planted fault must be found within so many incarnations. */
    private static final int MAX_INCARNATIONS_TO_FIND = 20_000;

    @Test
    void startsNoNonIdempotentTaskTwiceWithJournalWhicheverProcessIsKilled() {
        assertThat(run(incarnations(), true, PlantedFault.NONE, firstSeed())).isEmpty();
    }

    @Test
    void startsNoNonIdempotentTaskTwiceWithoutJournalWhileNodesStayUp() {
        assertThat(run(incarnations(), false, PlantedFault.NONE, firstSeed())).isEmpty();
    }

    @Test
    void findsJournalThatAcknowledgesBeforeRecordsAreDurable() {
        assertThat(findFault(true, PlantedFault.JOURNAL_ACKNOWLEDGES_BEFORE_DURABLE))
                .contains("started twice");
    }

    @Test
    void findsNodesThatClaimToRememberForgottenAttempts() {
        assertThat(findFault(true, PlantedFault.NODES_CLAIM_COMPLETE_HISTORY))
                .contains("started twice");
    }

    @Test
    void findsNodesWithoutHistoryIfThereIsNoJournal() {
        assertThat(findFault(false, PlantedFault.NODES_HAVE_NO_HISTORY)).contains("started twice");
    }

    private static String findFault(boolean journaled, PlantedFault fault) {
        return run(MAX_INCARNATIONS_TO_FIND, journaled, fault, DEFAULT_SEED);
    }

    /** Runs simulations until one violates a property; returns its violations, or nothing. */
    private static String run(
            int incarnations, boolean journaled, PlantedFault fault, long firstSeed) {
        long endSeed = firstSeed + incarnations / IncarnationSimulation.INCARNATIONS;
        for (long seed = firstSeed; seed < endSeed; seed++) {
            List<String> violations = new IncarnationSimulation(seed, journaled, fault).run();
            if (!violations.isEmpty()) {
                return "seed " + seed + ": " + violations;
            }
        }
        return "";
    }

    private static int incarnations() {
        return Integer.getInteger("lives", DEFAULT_INCARNATIONS);
    }

    private static long firstSeed() {
        return Long.getLong("seed", DEFAULT_SEED);
    }
}

package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs many incarnations of a placer in virtual time, see {@link IncarnationSimulation}. No
 * non-idempotent task may start twice, no result may contradict an earlier one, and in the end each
 * request must have its result. The tests with an injected fault prove that the simulation detects
 * a task that starts twice. {@code -Dlives=N} runs about N incarnations; {@code -Dseed=S} begins
 * with that seed.
 */
class IncarnationTest {
    private static final int DEFAULT_INCARNATIONS = 400;
    private static final long DEFAULT_SEED = 1;

    /** The number of incarnations within which an injected fault must be detected. */
    private static final int MAX_INCARNATIONS_TO_FIND = 20_000;

    @Test
    void startsNoNonIdempotentTaskTwiceWithJournalWhicheverProcessIsKilled() {
        assertThat(run(incarnations(), true, InjectedFault.NONE, firstSeed())).isEmpty();
    }

    @Test
    void startsNoNonIdempotentTaskTwiceWithoutJournalWhileNodesStayUp() {
        assertThat(run(incarnations(), false, InjectedFault.NONE, firstSeed())).isEmpty();
    }

    @Test
    void detectsJournalThatAcknowledgesBeforeRecordsAreDurable() {
        assertThat(violationsWith(true, InjectedFault.JOURNAL_ACKNOWLEDGES_BEFORE_DURABLE))
                .contains("started twice");
    }

    @Test
    void detectsNodesThatClaimToRememberForgottenAttempts() {
        assertThat(violationsWith(true, InjectedFault.NODES_CLAIM_COMPLETE_HISTORY))
                .contains("started twice");
    }

    @Test
    void detectsNodesWithoutHistoryIfThereIsNoJournal() {
        assertThat(violationsWith(false, InjectedFault.NODES_HAVE_NO_HISTORY))
                .contains("started twice");
    }

    private static String violationsWith(boolean journaled, InjectedFault fault) {
        return run(MAX_INCARNATIONS_TO_FIND, journaled, fault, DEFAULT_SEED);
    }

    /**
     * Runs simulations until one violates a property, and returns its violations or an empty text.
     */
    private static String run(
            int incarnations, boolean journaled, InjectedFault fault, long firstSeed) {
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

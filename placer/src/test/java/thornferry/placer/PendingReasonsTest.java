package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.placer.SiteFixtures.SECOND;

import org.junit.jupiter.api.Test;
import thornferry.decisions.diagnosis.PendingReasons.Kind;

/**
 * Runs all decision modules together in virtual time, with random actions of nodes and clients. An
 * oracle with the true state of the nodes checks that each waiting task has a pending reason and
 * that the reason is true.
 */
class PendingReasonsTest {
    private static final int SIMULATIONS = 40;
    private static final int ACTIONS = 250;

    /** A time that is longer than any request may wait. */
    private static final long MAX_WAIT_MICROS = 12 * SECOND;

    @Test
    void showsTrueReasonForEachWaitingTask() throws Exception {
        PendingReasonsOracle oracle = new PendingReasonsOracle();
        for (int seed = 0; seed < SIMULATIONS; seed++) {
            PendingReasonsSimulation simulation = new PendingReasonsSimulation(seed);
            simulation.runPendingTasks();
            for (int i = 0; i < ACTIONS; i++) {
                simulation.performRandomAction();
                simulation.advanceRandomly();
                oracle.check(simulation);
            }
            simulation.advance(MAX_WAIT_MICROS);
            assertThat(simulation.lastResults())
                    .as("each request has its result after the longest wait")
                    .hasSameSizeAs(simulation.requests());
            assertThat(simulation.core().reasons().waitingCount()).isZero();
        }
        assertThat(oracle.checkedKinds())
                .contains(
                        Kind.NO_MACHINES,
                        Kind.UNSATISFIABLE,
                        Kind.NO_CAPACITY,
                        Kind.MACHINES_EJECTED,
                        Kind.DRAINING,
                        Kind.SPREAD_LIMIT,
                        Kind.OWNER_QUOTA,
                        Kind.INDETERMINATE,
                        Kind.AWAITING_RESPONSE,
                        Kind.KEY_HELD);
    }
}

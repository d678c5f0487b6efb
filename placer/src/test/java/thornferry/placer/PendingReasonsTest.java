package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.placer.SiteFixtures.SECOND;

import org.junit.jupiter.api.Test;
import thornferry.decisions.diagnosis.PendingReasons.Kind;

/**
 * All decision modules together in virtual time, with nodes and clients that do things at random,
 * and an oracle that knows the true state of the nodes: each pending reason is checked against it,
 * and no waiting task is without a reason.
 */
class PendingReasonsTest {
    private static final int SIMULATIONS = 40;
    private static final int ACTIONS = 250;

    /** Longer than any request may wait. */
    private static final long MAX_WAIT_MICROS = 12 * SECOND;

    @Test
    void showsTrueReasonForEachWaitingTask() throws Exception {
        PendingReasonsOracle oracle = new PendingReasonsOracle();
        for (int seed = 0; seed < SIMULATIONS; seed++) {
            PendingReasonsSimulation simulation = new PendingReasonsSimulation(seed);
            simulation.runPendingTasks();
            for (int i = 0; i < ACTIONS; i++) {
                simulation.act();
                simulation.advanceRandomly();
                oracle.check(simulation);
            }
            simulation.advance(MAX_WAIT_MICROS);
            assertThat(simulation.lastResults())
                    .as("each request has its result")
                    .hasSameSizeAs(simulation.requests());
            assertThat(simulation.core().reasons().waitingCount()).isZero();
        }
        assertThat(oracle.seenKinds())
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

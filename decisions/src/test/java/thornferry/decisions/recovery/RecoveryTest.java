package thornferry.decisions.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.recovery.Recovery.Action;
import thornferry.decisions.recovery.Recovery.BecameIndeterminate;
import thornferry.decisions.recovery.Recovery.CancelledAfterStart;
import thornferry.decisions.recovery.Recovery.FinishedEarlier;
import thornferry.decisions.recovery.Recovery.ProvenNotRun;
import thornferry.decisions.recovery.Recovery.Restored;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskSpec;
import thornferry.decisions.requests.Uncertainty;

/**
 * Guards against a task that starts twice, or an owner that is not notified, because a restarted
 * placer draws a wrong conclusion from its journal or from the inventory of a machine.
 */
class RecoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1_000 * SECOND;
    private static final TaskSpec SPEC = new TaskSpec("t", "levy-run", "s", "", 1, 1, null, 0);

    private final Recovery recovery =
            new Recovery(new Recovery.Limits(60 * SECOND, 600 * SECOND, 10 * SECOND, 100, false));
    private final List<Action> actions = new ArrayList<>();

    private static JournalRecord offeredRecord(long at) {
        return new JournalRecord.Offered(
                at, "old-1", "o", "x", SPEC, Idempotency.NON_IDEMPOTENT, "n", 7);
    }

    private static JournalRecord completedRecord(long at, RequestResult result) {
        return new JournalRecord.Completed(
                at, "o", "x", SPEC, Idempotency.NON_IDEMPOTENT, result, "n", "why");
    }

    private void begin(JournalRecord... journal) {
        for (JournalRecord journalRecord : journal) {
            recovery.apply(journalRecord);
        }
        recovery.begin(NOW, actions::add);
    }

    private List<Action> register(
            long incarnation, long completeSince, RetainedAttempt... retained) {
        actions.clear();
        recovery.machineRegistered(
                NOW,
                new MachineInventory(
                        "n",
                        incarnation,
                        Set.of(),
                        List.of(retained),
                        Map.of(Idempotency.NON_IDEMPOTENT, completeSince)),
                attempt -> attempt.startsWith("new"),
                actions::add);
        return actions;
    }

    private static RetainedAttempt retainedAttempt(AttemptStatus status, boolean ran) {
        return new RetainedAttempt(
                "old-1", "o", SPEC, Idempotency.NON_IDEMPOTENT, status, ran, NOW - SECOND);
    }

    @Test
    void offerWithoutOutcomeAwaitsProofFromItsMachine() {
        begin(offeredRecord(NOW - SECOND));
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.PENDING_PROOF);
        assertThat(recovery.uncertaintyOf("other", "t")).isEqualTo(Uncertainty.NONE);
        assertThat(recovery.machineWithMissingProof("o", "t")).isEqualTo("n");
        assertThat(register(7, MachineInventory.WHOLE_INCARNATION))
                .containsExactly(new ProvenNotRun("o", "t"));
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.NONE);
    }

    @Test
    void inventoryCompleteSinceBeforeTheOfferProvesItNeverRan() {
        begin(offeredRecord(NOW - SECOND));
        assertThat(register(7, NOW - 2 * SECOND)).containsExactly(new ProvenNotRun("o", "t"));
    }

    @Test
    void inventoryCompleteOnlySinceAfterTheOfferIsIndeterminate() {
        begin(offeredRecord(NOW - 2 * SECOND));
        assertThat(register(7, NOW - SECOND))
                .containsExactly(new BecameIndeterminate("o", "t", "n"));
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.MAY_HAVE_RUN);
    }

    @Test
    void offerInTheFutureIsIndeterminate() {
        begin(offeredRecord(NOW + 5 * SECOND)); // the clock was set back between the incarnations
        assertThat(register(7, NOW - SECOND))
                .containsExactly(new BecameIndeterminate("o", "t", "n"));
    }

    @Test
    void inventoryOfOtherMachineIncarnationIsIndeterminate() {
        begin(offeredRecord(NOW - SECOND));
        assertThat(register(8, MachineInventory.WHOLE_INCARNATION))
                .containsExactly(new BecameIndeterminate("o", "t", "n"));
    }

    @Test
    void retainedTerminationIsTheResultOfTheTask() {
        begin(offeredRecord(NOW - SECOND));
        assertThat(
                        register(
                                7,
                                MachineInventory.WHOLE_INCARNATION,
                                retainedAttempt(AttemptStatus.COMPLETED, true)))
                .contains(
                        new FinishedEarlier("o", "x", SPEC, "n", TerminationCause.COMPLETED, false))
                .doesNotHaveAnyElementsOfTypes(ProvenNotRun.class);
        // the placer then writes both records
        recovery.apply(completedRecord(NOW, RequestResult.PLACED));
        recovery.apply(new JournalRecord.Finished(NOW, "o", "t", TerminationCause.COMPLETED));
        assertThat(
                        register(
                                7,
                                MachineInventory.WHOLE_INCARNATION,
                                retainedAttempt(AttemptStatus.COMPLETED, true)))
                .isEmpty(); // the owner is notified only once
    }

    @Test
    void cancelledBeforeStartNeverRanAndCancelledAfterStartFailed() {
        begin(offeredRecord(NOW - SECOND));
        assertThat(register(7, NOW, retainedAttempt(AttemptStatus.CANCELLED, false)))
                .containsExactly(new ProvenNotRun("o", "t"));
        recovery.apply(offeredRecord(NOW));
        begin();
        assertThat(register(7, NOW, retainedAttempt(AttemptStatus.CANCELLED, true)))
                .first()
                .isInstanceOf(CancelledAfterStart.class);
    }

    @Test
    void withoutJournalRetainedAttemptsProveWhichTasksRan() {
        begin();
        assertThat(
                        register(
                                7,
                                MachineInventory.WHOLE_INCARNATION,
                                retainedAttempt(AttemptStatus.EVICTED, true)))
                .containsExactly(
                        new FinishedEarlier("o", "", SPEC, "n", TerminationCause.EVICTED, false));
        assertThat(
                        register(
                                7,
                                MachineInventory.WHOLE_INCARNATION,
                                new RetainedAttempt(
                                        "new-1",
                                        "o",
                                        SPEC,
                                        Idempotency.NON_IDEMPOTENT,
                                        AttemptStatus.COMPLETED,
                                        true,
                                        NOW)))
                .isEmpty(); // an attempt of this incarnation, which AttemptTracker follows
    }

    @Test
    void terminationOlderThanRetentionIsNotNotifiedAgain() {
        begin();
        assertThat(
                        register(
                                7,
                                MachineInventory.WHOLE_INCARNATION,
                                new RetainedAttempt(
                                        "old-1",
                                        "o",
                                        SPEC,
                                        Idempotency.NON_IDEMPOTENT,
                                        AttemptStatus.COMPLETED,
                                        true,
                                        NOW - 61 * SECOND)))
                .containsExactly(
                        new FinishedEarlier("o", "", SPEC, "n", TerminationCause.COMPLETED, true));
    }

    @Test
    void restoresResultAndLosesPlacedTaskMissingOnItsMachine() {
        begin(offeredRecord(NOW - SECOND), completedRecord(NOW - SECOND, RequestResult.PLACED));
        assertThat(actions)
                .containsExactly(
                        new Restored("o", "x", SPEC, RequestResult.PLACED, "n", "why", null));
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.NONE);
        assertThat(register(7, MachineInventory.WHOLE_INCARNATION))
                .containsExactly(
                        new FinishedEarlier("o", "x", SPEC, "n", TerminationCause.LOST, false));
    }

    @Test
    void placedTaskIsLostWhenItsMachineDoesNotRegisterInTime() {
        begin(offeredRecord(NOW - SECOND), completedRecord(NOW - SECOND, RequestResult.PLACED));
        actions.clear();
        recovery.tick(NOW + 9 * SECOND, actions::add);
        assertThat(actions).isEmpty();
        recovery.tick(NOW + 10 * SECOND, actions::add);
        assertThat(actions)
                .containsExactly(
                        new FinishedEarlier("o", "x", SPEC, "n", TerminationCause.LOST, false));
    }

    @Test
    void restoresFailureAndDropsItAfterRetention() {
        begin(
                offeredRecord(NOW - 30 * SECOND),
                completedRecord(NOW - 20 * SECOND, RequestResult.FAILED));
        assertThat(actions)
                .containsExactly(
                        new Restored("o", "x", SPEC, RequestResult.FAILED, "n", "why", null));
        recovery.tick(NOW + 39 * SECOND, actions::add);
        assertThat(recovery.size()).isOne();
        recovery.tick(NOW + 40 * SECOND, actions::add);
        assertThat(recovery.size()).isZero();
    }

    @Test
    void dropsExpiredOffersAndTreatsFutureOffersAsMadeNow() {
        begin(offeredRecord(NOW - 661 * SECOND));
        assertThat(recovery.size()).isZero();
        begin(offeredRecord(NOW + 86_400 * SECOND));
        recovery.tick(NOW + 659 * SECOND, actions::add);
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.PENDING_PROOF);
        recovery.tick(NOW + 660 * SECOND, actions::add);
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.NONE);
    }

    @Test
    void recoveryBuiltFromSnapshotGivesTheSameSnapshot() {
        begin(
                offeredRecord(NOW),
                completedRecord(NOW, RequestResult.PLACED),
                new JournalRecord.Offered(
                        NOW,
                        "old-2",
                        "o",
                        "x",
                        new TaskSpec("u", "levy-run", "s", "", 1, 1, null, 0),
                        Idempotency.NON_IDEMPOTENT,
                        "m",
                        3));
        Recovery rebuilt = new Recovery(recovery.limits());
        recovery.snapshot().forEach(rebuilt::apply);
        assertThat(rebuilt.snapshot()).isEqualTo(recovery.snapshot()).hasSize(3);
        recovery.apply(new JournalRecord.NeverRan(NOW, "o", "u", "old-2"));
        assertThat(recovery.snapshot()).hasSize(2); // a task that never ran needs no record
    }
}

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
import thornferry.decisions.recovery.Recovery.Failed;
import thornferry.decisions.recovery.Recovery.FinishedEarlier;
import thornferry.decisions.recovery.Recovery.ProvenNotRun;
import thornferry.decisions.recovery.Recovery.Restored;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskSpec;
import thornferry.decisions.requests.Uncertainty;

class RecoveryTest {
    private static final long SECOND = 1_000_000;
    private static final TaskSpec SPEC = new TaskSpec("t", "levy-run", "s", "", 1, 1, null, 0);

    private final Recovery recovery =
            new Recovery(new Recovery.Limits(60 * SECOND, 600 * SECOND, 10 * SECOND, 100, false));
    private final List<Action> actions = new ArrayList<>();
    private static final long NOW = 1_000 * SECOND;
    private final long now = NOW;

    private static JournalRecord offered(long at) {
        return new JournalRecord.Offered(
                at, "old-1", "o", "x", SPEC, Idempotency.NON_IDEMPOTENT, "n", 7);
    }

    private static JournalRecord completed(long at, RequestResult result) {
        return new JournalRecord.Completed(
                at, "o", "x", SPEC, Idempotency.NON_IDEMPOTENT, result, "n", "why");
    }

    private void begin(JournalRecord... journal) {
        for (JournalRecord journalRecord : journal) {
            recovery.apply(journalRecord);
        }
        recovery.begin(now, actions::add);
    }

    private List<Action> register(
            long incarnation, long completeSince, RetainedAttempt... retained) {
        actions.clear();
        recovery.machineRegistered(
                now,
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

    private static RetainedAttempt retained(AttemptStatus status, boolean ran) {
        return new RetainedAttempt(
                "old-1", "o", SPEC, Idempotency.NON_IDEMPOTENT, status, ran, NOW - SECOND);
    }

    @Test
    void offerWithoutOutcomeAwaitsProofFromItsMachine() {
        begin(offered(now - SECOND));
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.PENDING_PROOF);
        assertThat(recovery.uncertaintyOf("other", "t")).isEqualTo(Uncertainty.NONE);
        assertThat(recovery.machineAwaited("o", "t")).isEqualTo("n");
        assertThat(register(7, MachineInventory.WHOLE_INCARNATION))
                .containsExactly(new ProvenNotRun("o", "t"));
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.NONE);
    }

    @Test
    void inventoryCompleteSinceBeforeTheOfferProvesItNeverRan() {
        begin(offered(now - SECOND));
        assertThat(register(7, now - 2 * SECOND)).containsExactly(new ProvenNotRun("o", "t"));
    }

    @Test
    void inventoryCompleteOnlySinceAfterTheOfferProvesNothing() {
        begin(offered(now - 2 * SECOND));
        assertThat(register(7, now - SECOND))
                .containsExactly(new BecameIndeterminate("o", "t", "n"));
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.MAY_HAVE_RUN);
    }

    @Test
    void offerInTheFutureIsIndeterminate() {
        begin(offered(now + 5 * SECOND)); // the clock was set back between the incarnations
        assertThat(register(7, now - SECOND))
                .containsExactly(new BecameIndeterminate("o", "t", "n"));
    }

    @Test
    void otherMachineIncarnationProvesNothing() {
        begin(offered(now - SECOND));
        assertThat(register(8, MachineInventory.WHOLE_INCARNATION))
                .containsExactly(new BecameIndeterminate("o", "t", "n"));
    }

    @Test
    void retainedTerminationIsTheResultOfTheTask() {
        begin(offered(now - SECOND));
        assertThat(
                        register(
                                7,
                                MachineInventory.WHOLE_INCARNATION,
                                retained(AttemptStatus.COMPLETED, true)))
                .contains(
                        new FinishedEarlier("o", "x", SPEC, "n", TerminationCause.COMPLETED, false))
                .doesNotHaveAnyElementsOfTypes(ProvenNotRun.class);
        recovery.apply(completed(now, RequestResult.PLACED)); // as the placer does then
        recovery.apply(new JournalRecord.Finished(now, "o", "t", TerminationCause.COMPLETED));
        assertThat(
                        register(
                                7,
                                MachineInventory.WHOLE_INCARNATION,
                                retained(AttemptStatus.COMPLETED, true)))
                .isEmpty(); // notified once
    }

    @Test
    void cancelledBeforeStartNeverRanAndCancelledAfterStartFailed() {
        begin(offered(now - SECOND));
        assertThat(register(7, now, retained(AttemptStatus.CANCELLED, false)))
                .containsExactly(new ProvenNotRun("o", "t"));
        recovery.apply(offered(now));
        begin();
        assertThat(register(7, now, retained(AttemptStatus.CANCELLED, true)))
                .first()
                .isInstanceOf(Failed.class);
    }

    @Test
    void withoutJournalRetainedAttemptsAloneShowWhatRan() {
        begin();
        assertThat(
                        register(
                                7,
                                MachineInventory.WHOLE_INCARNATION,
                                retained(AttemptStatus.EVICTED, true)))
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
                                        now)))
                .isEmpty(); // of this incarnation: AttemptTracker follows it
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
                                        now - 61 * SECOND)))
                .containsExactly(
                        new FinishedEarlier("o", "", SPEC, "n", TerminationCause.COMPLETED, true));
    }

    @Test
    void restoresResultAndLosesPlacedTaskMissingOnItsMachine() {
        begin(offered(now - SECOND), completed(now - SECOND, RequestResult.PLACED));
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
        begin(offered(now - SECOND), completed(now - SECOND, RequestResult.PLACED));
        actions.clear();
        recovery.tick(now + 9 * SECOND, actions::add);
        assertThat(actions).isEmpty();
        recovery.tick(now + 10 * SECOND, actions::add);
        assertThat(actions)
                .containsExactly(
                        new FinishedEarlier("o", "x", SPEC, "n", TerminationCause.LOST, false));
    }

    @Test
    void restoresFailureAndDropsItAfterRetention() {
        begin(offered(now - 30 * SECOND), completed(now - 20 * SECOND, RequestResult.FAILED));
        assertThat(actions)
                .containsExactly(
                        new Restored("o", "x", SPEC, RequestResult.FAILED, "n", "why", null));
        recovery.tick(now + 39 * SECOND, actions::add);
        assertThat(recovery.size()).isOne();
        recovery.tick(now + 40 * SECOND, actions::add);
        assertThat(recovery.size()).isZero();
    }

    @Test
    void dropsExpiredOffersAndTreatsFutureOffersAsOfNow() {
        begin(offered(now - 661 * SECOND));
        assertThat(recovery.size()).isZero();
        begin(offered(now + 86_400 * SECOND));
        recovery.tick(now + 659 * SECOND, actions::add);
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.PENDING_PROOF);
        recovery.tick(now + 660 * SECOND, actions::add);
        assertThat(recovery.uncertaintyOf("o", "t")).isEqualTo(Uncertainty.NONE);
    }

    @Test
    void snapshotReadAgainIsEqual() {
        begin(
                offered(now),
                completed(now, RequestResult.PLACED),
                new JournalRecord.Offered(
                        now,
                        "old-2",
                        "o",
                        "x",
                        new TaskSpec("u", "levy-run", "s", "", 1, 1, null, 0),
                        Idempotency.NON_IDEMPOTENT,
                        "m",
                        3));
        Recovery again = new Recovery(recovery.limits());
        recovery.snapshot().forEach(again::apply);
        assertThat(again.snapshot()).isEqualTo(recovery.snapshot()).hasSize(3);
        recovery.apply(new JournalRecord.NeverRan(now, "o", "u", "old-2"));
        assertThat(recovery.snapshot()).hasSize(2); // no record is needed of what never ran
    }
}

package thornferry.decisions.attempts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import thornferry.decisions.attempts.AttemptTracker.Action;
import thornferry.decisions.attempts.AttemptTracker.AdoptTask;
import thornferry.decisions.attempts.AttemptTracker.CancelAttempt;
import thornferry.decisions.attempts.AttemptTracker.NotifyPolicy;
import thornferry.decisions.attempts.AttemptTracker.ProtocolViolation;
import thornferry.decisions.attempts.AttemptTracker.RequestPlaced;
import thornferry.decisions.attempts.AttemptTracker.StatusReport;
import thornferry.decisions.attempts.AttemptTracker.TaskTerminated;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.OutcomeReason;

/**
 * Guards against a task that starts twice, because an attempt that may have run was taken for one
 * that never ran, and against an attempt that ends more than once or not at all.
 */
class AttemptTrackerTest {
    private static final long SECOND = 1_000_000;
    private static final List<Idempotency> IDEMPOTENCIES = List.of(Idempotency.values());
    private static final List<AttemptStatus> STATUSES = List.of(AttemptStatus.values());
    private static final long OFFER_TIMEOUT_MICROS = 2 * SECOND;

    private final AttemptTracker tracker = new AttemptTracker("p.1");
    private final List<Action> actions = new ArrayList<>();
    private long now = 100 * SECOND;

    private String beginAttempt(Idempotency idempotency) {
        return tracker.begin(now, "q1", 0, "n", 5, idempotency, OFFER_TIMEOUT_MICROS);
    }

    private List<Action> report(String attempt, AttemptStatus status) {
        StatusReport report =
                new StatusReport(attempt, status, OutcomeReason.INSUFFICIENT_CORES, false, null);
        return actionsOf(() -> tracker.reported(now, "n", report, actions::add));
    }

    private List<Action> actionsOf(Runnable call) {
        actions.clear();
        call.run();
        return List.copyOf(actions);
    }

    /** Returns the only outcome that the policy was notified of, or null if there is none. */
    private static AttemptOutcome outcomeOf(List<Action> actions) {
        List<AttemptOutcome> outcomes =
                actions.stream()
                        .filter(NotifyPolicy.class::isInstance)
                        .map(action -> ((NotifyPolicy) action).event())
                        .filter(AttemptEnded.class::isInstance)
                        .map(event -> ((AttemptEnded) event).outcome())
                        .toList();
        assertThat(outcomes).hasSizeLessThanOrEqualTo(1);
        return outcomes.isEmpty() ? null : outcomes.get(0);
    }

    private List<Action> reportInventory(long incarnation, Set<String> attemptIds) {
        return actionsOf(
                () ->
                        tracker.inventoryReported(
                                now,
                                "n",
                                incarnation,
                                attemptIds,
                                Set.of(),
                                Map.of(),
                                actions::add));
    }

    @Test
    void attemptOfIncompletelyWrittenOfferNeverRan() {
        String attempt = beginAttempt(Idempotency.NON_IDEMPOTENT);
        AttemptOutcome outcome =
                outcomeOf(actionsOf(() -> tracker.offerNotWritten(now, attempt, actions::add)));
        assertThat(outcome.neverRan).isTrue();
    }

    @Test
    void rejectedAttemptNeverRanAndEndsOnce() {
        String attempt = beginAttempt(Idempotency.NON_IDEMPOTENT);
        assertThat(outcomeOf(report(attempt, AttemptStatus.REJECTED)).neverRan).isTrue();
        assertThat(report(attempt, AttemptStatus.REJECTED)).isEmpty();
    }

    @Test
    void nonIdempotentAttemptStaysOpenAfterConnectionLossUntilInventoryProvesItNeverRan() {
        String attempt = beginAttempt(Idempotency.NON_IDEMPOTENT);
        assertThat(actionsOf(() -> tracker.connectionLost(now, "n", actions::add))).isEmpty();
        assertThat(outcomeOf(reportInventory(5, Set.of())).neverRan).isTrue();
        assertThat(report(attempt, AttemptStatus.ACCEPTED))
                .containsExactly(new CancelAttempt("n", attempt));
    }

    @Test
    void idempotentAttemptIsLostWithItsConnection() {
        String attempt = beginAttempt(Idempotency.IDEMPOTENT);
        assertThat(outcomeOf(actionsOf(() -> tracker.connectionLost(now, "n", actions::add))))
                .isEqualTo(AttemptOutcome.LOST);
        // the placer no longer tracks the attempt
        assertThat(reportInventory(5, Set.of(attempt)))
                .containsExactly(new CancelAttempt("n", attempt));
    }

    @Test
    void inventoryListingTheAttemptProvesAcceptance() {
        String attempt = beginAttempt(Idempotency.IDEMPOTENT_WITH_KEY);
        actionsOf(() -> tracker.connectionLost(now, "n", actions::add));
        assertThat(reportInventory(5, Set.of(attempt))).contains(new RequestPlaced("q1", "n"));
    }

    @Test
    void inventoryOfLaterMachineIncarnationDoesNotProveThatAttemptNeverRan() {
        beginAttempt(Idempotency.NON_IDEMPOTENT);
        assertThat(reportInventory(6, Set.of())).isEmpty();
        assertThat(outcomeOf(actionsOf(() -> tracker.incarnationEnded(now, "n", 5, actions::add))))
                .isEqualTo(AttemptOutcome.LOST);
    }

    @Test
    void unansweredAttemptTimesOutAndLateAcceptanceIsCancelled() {
        String attempt = beginAttempt(Idempotency.IDEMPOTENT);
        now += 2 * SECOND;
        List<Action> timeoutActions = actionsOf(() -> tracker.tick(now, actions::add));
        assertThat(timeoutActions.get(0)).isEqualTo(new CancelAttempt("n", attempt));
        assertThat(outcomeOf(timeoutActions)).isEqualTo(AttemptOutcome.TIMED_OUT);
        assertThat(report(attempt, AttemptStatus.ACCEPTED))
                .containsExactly(new CancelAttempt("n", attempt));
        assertThat(report(attempt, AttemptStatus.CANCELLED)).isEmpty();
    }

    @Test
    void placedTaskOutlivesOfferTimeoutAndTerminatesOnce() {
        String attempt = beginAttempt(Idempotency.IDEMPOTENT);
        assertThat(report(attempt, AttemptStatus.ACCEPTED))
                .anyMatch(
                        action ->
                                action instanceof NotifyPolicy notify
                                        && notify.event() instanceof AttemptAccepted);
        now += 10 * SECOND;
        assertThat(actionsOf(() -> tracker.tick(now, actions::add))).isEmpty();
        assertThat(report(attempt, AttemptStatus.COMPLETED))
                .contains(new TaskTerminated("q1", "n", TerminationCause.COMPLETED));
        assertThat(report(attempt, AttemptStatus.COMPLETED)).isEmpty();
        assertThat(tracker.activeAttemptCount()).isZero();
    }

    @Test
    void runningReportProvesAcceptanceWhenAcceptedReportWasLost() {
        String attempt = beginAttempt(Idempotency.NON_IDEMPOTENT);
        assertThat(report(attempt, AttemptStatus.RUNNING)).contains(new RequestPlaced("q1", "n"));
    }

    @Test
    void placedTaskMissingFromInventoryOfSameIncarnationIsLost() {
        String attempt = beginAttempt(Idempotency.IDEMPOTENT);
        report(attempt, AttemptStatus.ACCEPTED);
        assertThat(actionsOf(() -> tracker.connectionLost(now, "n", actions::add))).isEmpty();
        assertThat(reportInventory(5, Set.of()))
                .contains(new TaskTerminated("q1", "n", TerminationCause.LOST));
    }

    @Test
    void cancelledTaskTerminatesWithTheCauseOfItsCancellation() {
        String attempt = beginAttempt(Idempotency.IDEMPOTENT);
        report(attempt, AttemptStatus.ACCEPTED);
        assertThat(actionsOf(() -> tracker.cancel("q1", TerminationCause.MIGRATED, actions::add)))
                .containsExactly(new CancelAttempt("n", attempt));
        assertThat(report(attempt, AttemptStatus.CANCELLED))
                .contains(new TaskTerminated("q1", "n", TerminationCause.MIGRATED));
    }

    @Test
    void reportOnAttemptNeverOfferedIsProtocolViolation() {
        String attempt = beginAttempt(Idempotency.IDEMPOTENT);
        StatusReport fromOtherMachine =
                new StatusReport(attempt, AttemptStatus.ACCEPTED, OutcomeReason.NONE, false, null);
        assertThat(actionsOf(() -> tracker.reported(now, "m", fromOtherMachine, actions::add)))
                .singleElement()
                .isInstanceOf(ProtocolViolation.class);
        StatusReport ofUnknownAttempt =
                new StatusReport(
                        "p.1-999", AttemptStatus.COMPLETED, OutcomeReason.NONE, false, null);
        assertThat(actionsOf(() -> tracker.reported(now, "n", ofUnknownAttempt, actions::add)))
                .singleElement()
                .isInstanceOf(ProtocolViolation.class);
        // the machine that was offered the attempt is not affected
        assertThat(report(attempt, AttemptStatus.ACCEPTED)).contains(new RequestPlaced("q1", "n"));
    }

    @Test
    void taskOfEarlierPlacerIncarnationIsAdoptedAndTracked() {
        assertThat(reportInventory(5, Set.of("p.0-7")))
                .containsExactly(new AdoptTask("n", "p.0-7"));
        tracker.trackAdopted(now, "p.0-7", "q9", "n", 5, Idempotency.NON_IDEMPOTENT, true);
        assertThat(report("p.0-7", AttemptStatus.COMPLETED))
                .contains(new TaskTerminated("q9", "n", TerminationCause.COMPLETED));
    }

    @Test
    void everyAttemptEndsExactlyOnceUnderRandomEvents() {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 2_000; run++) {
            AttemptTracker tracker = new AttemptTracker("r" + run);
            Idempotency idempotency = IDEMPOTENCIES.get(random.nextInt(IDEMPOTENCIES.size()));
            String attempt = tracker.begin(0, "q", 0, "n", 5, idempotency, 1_000);
            List<Action> allActions = new ArrayList<>();
            for (int step = 0; step < 8; step++) {
                randomEvent(random, tracker, attempt, step * 200L, allActions);
            }
            tracker.incarnationEnded(5_000, "n", 5, allActions::add);
            assertThat(allActions.stream().filter(AttemptTrackerTest::isAttemptEnded).count())
                    .as("run " + run + ": " + allActions)
                    .isEqualTo(1);
            assertThat(allActions.stream().filter(RequestPlaced.class::isInstance).count())
                    .isLessThanOrEqualTo(1);
        }
    }

    private static boolean isAttemptEnded(Action action) {
        return action instanceof NotifyPolicy notify && notify.event() instanceof AttemptEnded;
    }

    private static void randomEvent(
            SplittableRandom random,
            AttemptTracker tracker,
            String attempt,
            long at,
            List<Action> allActions) {
        switch (random.nextInt(6)) {
            case 0 -> tracker.connectionLost(at, "n", allActions::add);
            case 1 ->
                    tracker.inventoryReported(
                            at,
                            "n",
                            5,
                            random.nextBoolean() ? Set.of(attempt) : Set.of(),
                            Set.of(),
                            Map.of(),
                            allActions::add);
            case 2 -> tracker.reported(at, "n", randomReport(random, attempt), allActions::add);
            case 3 -> tracker.tick(at, allActions::add);
            case 4 -> tracker.offerNotWritten(at, attempt, allActions::add);
            default -> tracker.cancel("q", TerminationCause.STOPPED, allActions::add);
        }
    }

    private static StatusReport randomReport(SplittableRandom random, String attempt) {
        AttemptStatus status = STATUSES.get(random.nextInt(STATUSES.size()));
        return new StatusReport(attempt, status, OutcomeReason.NONE, random.nextBoolean(), null);
    }
}

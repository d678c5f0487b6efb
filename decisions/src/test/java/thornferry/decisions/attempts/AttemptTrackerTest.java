package thornferry.decisions.attempts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.attempts.AttemptTracker.Action;
import thornferry.decisions.attempts.AttemptTracker.AdoptTask;
import thornferry.decisions.attempts.AttemptTracker.CancelAttempt;
import thornferry.decisions.attempts.AttemptTracker.NotifyPolicy;
import thornferry.decisions.attempts.AttemptTracker.ProtocolViolation;
import thornferry.decisions.attempts.AttemptTracker.RequestPlaced;
import thornferry.decisions.attempts.AttemptTracker.TaskTerminated;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.OutcomeReason;

/** What proves that an attempt never ran, and what does not. */
class AttemptTrackerTest {
    private static final long SECOND = 1_000_000;

    private final AttemptTracker attempts = new AttemptTracker("p.1");
    private final List<Action> actions = new ArrayList<>();
    private long now = 100 * SECOND;

    private String offered(Idempotency effect) {
        return attempts.begin(now, "q1", 0, "n", 5, effect, 2 * SECOND);
    }

    private List<Action> says(String attempt, AttemptStatus word) {
        return did(
                () ->
                        attempts.reported(
                                now,
                                "n",
                                attempt,
                                word,
                                OutcomeReason.INSUFFICIENT_CORES,
                                false,
                                null,
                                actions::add));
    }

    private List<Action> did(Runnable what) {
        actions.clear();
        what.run();
        return List.copyOf(actions);
    }

    /** The one outcome that the module was told, or null. */
    private static AttemptOutcome outcome(List<Action> actions) {
        List<AttemptOutcome> all =
                actions.stream()
                        .filter(NotifyPolicy.class::isInstance)
                        .map(a -> ((NotifyPolicy) a).event())
                        .filter(AttemptEnded.class::isInstance)
                        .map(e -> ((AttemptEnded) e).outcome())
                        .toList();
        assertThat(all).hasSizeLessThanOrEqualTo(1);
        return all.isEmpty() ? null : all.get(0);
    }

    private List<Action> inventory(long incarnation, Set<String> held) {
        return did(
                () ->
                        attempts.inventory(
                                now, "n", incarnation, held, Set.of(), Map.of(), actions::add));
    }

    @Test
    void octetsNeverWhollyWrittenProveThatItNeverRan() {
        String a = offered(Idempotency.NON_IDEMPOTENT);
        AttemptOutcome outcome = outcome(did(() -> attempts.notWritten(now, a, actions::add)));
        assertThat(outcome.neverRan).isTrue();
    }

    @Test
    void aRefusalProvesThatItNeverRanAndComesOnce() {
        String a = offered(Idempotency.NON_IDEMPOTENT);
        assertThat(outcome(says(a, AttemptStatus.REJECTED)).neverRan).isTrue();
        assertThat(says(a, AttemptStatus.REJECTED)).isEmpty();
    }

    @Test
    void aBrokenConnectionProvesNothingAndUnsafeWorkWaitsForProof() {
        String a = offered(Idempotency.NON_IDEMPOTENT);
        assertThat(did(() -> attempts.connectionLost(now, "n", actions::add))).isEmpty();
        assertThat(outcome(inventory(5, Set.of())).neverRan).isTrue();
        assertThat(says(a, AttemptStatus.ACCEPTED)).containsExactly(new CancelAttempt("n", a));
    }

    @Test
    void whatMayBeRepeatedFreelyIsGivenUpWithTheConnection() {
        String a = offered(Idempotency.IDEMPOTENT);
        assertThat(outcome(did(() -> attempts.connectionLost(now, "n", actions::add))))
                .isEqualTo(AttemptOutcome.LOST);
        assertThat(inventory(5, Set.of(a)))
                .containsExactly(new CancelAttempt("n", a)); // a copy that nobody looks after
    }

    @Test
    void anInventoryThatHoldsItProvesThatItWasAccepted() {
        String a = offered(Idempotency.IDEMPOTENT_WITH_KEY);
        did(() -> attempts.connectionLost(now, "n", actions::add));
        assertThat(inventory(5, Set.of(a))).contains(new RequestPlaced("q1", "n"));
    }

    @Test
    void theInventoryOfALaterLifeProvesNothing() {
        offered(Idempotency.NON_IDEMPOTENT);
        assertThat(inventory(6, Set.of())).isEmpty();
        assertThat(outcome(did(() -> attempts.incarnationEnded(now, "n", 5, actions::add))))
                .isEqualTo(AttemptOutcome.LOST);
    }

    @Test
    void unansweredInItsTimeItIsGivenUpAndWithdrawnAndALateYesDoesNotStand() {
        String a = offered(Idempotency.IDEMPOTENT);
        now += 2 * SECOND;
        List<Action> led = did(() -> attempts.tick(now, actions::add));
        assertThat(led.get(0)).isEqualTo(new CancelAttempt("n", a));
        assertThat(outcome(led)).isEqualTo(AttemptOutcome.TIMED_OUT);
        assertThat(says(a, AttemptStatus.ACCEPTED)).containsExactly(new CancelAttempt("n", a));
        assertThat(says(a, AttemptStatus.CANCELLED)).isEmpty();
    }

    @Test
    void aPlacedTaskOutlastsItsTimeOutAndEndsOnce() {
        String a = offered(Idempotency.IDEMPOTENT);
        assertThat(says(a, AttemptStatus.ACCEPTED))
                .anyMatch(x -> x instanceof NotifyPolicy t && t.event() instanceof AttemptAccepted);
        now += 10 * SECOND;
        assertThat(did(() -> attempts.tick(now, actions::add))).isEmpty();
        assertThat(says(a, AttemptStatus.COMPLETED))
                .contains(new TaskTerminated("q1", "n", TerminationCause.COMPLETED));
        assertThat(says(a, AttemptStatus.COMPLETED)).isEmpty();
        assertThat(attempts.size()).isZero();
    }

    @Test
    void runningProvesAcceptanceWhereThatAnswerWasLost() {
        String a = offered(Idempotency.NON_IDEMPOTENT);
        assertThat(says(a, AttemptStatus.RUNNING)).contains(new RequestPlaced("q1", "n"));
    }

    @Test
    void aPlacedTaskThatTheSameLifeNoLongerHoldsIsLost() {
        String a = offered(Idempotency.IDEMPOTENT);
        says(a, AttemptStatus.ACCEPTED);
        assertThat(did(() -> attempts.connectionLost(now, "n", actions::add))).isEmpty();
        assertThat(inventory(5, Set.of()))
                .contains(new TaskTerminated("q1", "n", TerminationCause.LOST));
    }

    @Test
    void aStopIsNamedByWhoAskedForIt() {
        String a = offered(Idempotency.IDEMPOTENT);
        says(a, AttemptStatus.ACCEPTED);
        assertThat(did(() -> attempts.cancel("q1", TerminationCause.MIGRATED, actions::add)))
                .containsExactly(new CancelAttempt("n", a));
        assertThat(says(a, AttemptStatus.CANCELLED))
                .contains(new TaskTerminated("q1", "n", TerminationCause.MIGRATED));
    }

    @Test
    void aNodeThatAnswersWhatItNeverGotIsGuilty() {
        String a = offered(Idempotency.IDEMPOTENT);
        List<Action> led =
                did(
                        () ->
                                attempts.reported(
                                        now,
                                        "m",
                                        a,
                                        AttemptStatus.ACCEPTED,
                                        OutcomeReason.NONE,
                                        false,
                                        null,
                                        actions::add));
        assertThat(led).singleElement().isInstanceOf(ProtocolViolation.class);
        led =
                did(
                        () ->
                                attempts.reported(
                                        now,
                                        "n",
                                        "p.1-999",
                                        AttemptStatus.COMPLETED,
                                        OutcomeReason.NONE,
                                        false,
                                        null,
                                        actions::add));
        assertThat(led).singleElement().isInstanceOf(ProtocolViolation.class);
        assertThat(says(a, AttemptStatus.ACCEPTED))
                .contains(new RequestPlaced("q1", "n")); // nothing lost for the honest one
    }

    @Test
    void workOfAFormerLifeIsTakenOverAndThenLookedAfter() {
        assertThat(inventory(5, Set.of("p.0-7"))).containsExactly(new AdoptTask("n", "p.0-7"));
        attempts.adopted(now, "p.0-7", "q9", "n", 5, Idempotency.NON_IDEMPOTENT, true);
        assertThat(says("p.0-7", AttemptStatus.COMPLETED))
                .contains(new TaskTerminated("q9", "n", TerminationCause.COMPLETED));
    }

    @Test
    void everyAttemptEndsExactlyOnceWhateverHappens() {
        java.util.SplittableRandom random = new java.util.SplittableRandom(3);
        for (int run = 0; run < 2_000; run++) {
            AttemptTracker all = new AttemptTracker("r" + run);
            Idempotency effect = Idempotency.values()[random.nextInt(3)];
            String a = all.begin(0, "q", 0, "n", 5, effect, 1_000);
            List<Action> seen = new ArrayList<>();
            for (int step = 0; step < 8; step++) {
                long at = step * 200;
                switch (random.nextInt(6)) {
                    case 0 -> all.connectionLost(at, "n", seen::add);
                    case 1 ->
                            all.inventory(
                                    at,
                                    "n",
                                    5,
                                    random.nextBoolean() ? Set.of(a) : Set.of(),
                                    Set.of(),
                                    Map.of(),
                                    seen::add);
                    case 2 ->
                            all.reported(
                                    at,
                                    "n",
                                    a,
                                    AttemptStatus.values()[
                                            random.nextInt(AttemptStatus.values().length)],
                                    OutcomeReason.NONE,
                                    random.nextBoolean(),
                                    null,
                                    seen::add);
                    case 3 -> all.tick(at, seen::add);
                    case 4 -> all.notWritten(at, a, seen::add);
                    default -> all.cancel("q", TerminationCause.STOPPED, seen::add);
                }
            }
            all.incarnationEnded(5_000, "n", 5, seen::add);
            assertThat(
                            seen.stream()
                                    .filter(
                                            x ->
                                                    x instanceof NotifyPolicy t
                                                            && t.event() instanceof AttemptEnded)
                                    .count())
                    .as("run " + run + ": " + seen)
                    .isEqualTo(1);
            assertThat(seen.stream().filter(RequestPlaced.class::isInstance).count())
                    .isLessThanOrEqualTo(1);
        }
    }
}

package thornferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.Attempts.Action;
import thornferry.decisions.Attempts.Adopt;
import thornferry.decisions.Attempts.Fate;
import thornferry.decisions.Attempts.Guilty;
import thornferry.decisions.Attempts.IsPlaced;
import thornferry.decisions.Attempts.Over;
import thornferry.decisions.Attempts.Tell;
import thornferry.decisions.Attempts.Withdraw;
import thornferry.decisions.Attempts.Word;
import thornferry.decisions.Placement.Effect;
import thornferry.decisions.Placement.Ended;
import thornferry.decisions.Placement.Outcome;
import thornferry.decisions.Placement.Placed;
import thornferry.decisions.Placement.Reason;

/** What proves that an attempt never ran, and what does not. */
class AttemptsTest {
    private static final long SECOND = 1_000_000;

    private final Attempts attempts = new Attempts("p.1");
    private final List<Action> actions = new ArrayList<>();
    private long now = 100 * SECOND;

    private String offered(Effect effect) {
        return attempts.offered(now, "q1", 0, "n", 5, effect, 2 * SECOND);
    }

    private List<Action> says(String attempt, Word word) {
        return did(
                () ->
                        attempts.said(
                                now,
                                "n",
                                attempt,
                                word,
                                Reason.NO_CORES,
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
    private static Outcome outcome(List<Action> actions) {
        List<Outcome> all =
                actions.stream()
                        .filter(Tell.class::isInstance)
                        .map(a -> ((Tell) a).event())
                        .filter(Ended.class::isInstance)
                        .map(e -> ((Ended) e).outcome())
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
        String a = offered(Effect.UNSAFE);
        Outcome outcome = outcome(did(() -> attempts.notWritten(now, a, actions::add)));
        assertThat(outcome.neverRan).isTrue();
    }

    @Test
    void aRefusalProvesThatItNeverRanAndComesOnce() {
        String a = offered(Effect.UNSAFE);
        assertThat(outcome(says(a, Word.REFUSED)).neverRan).isTrue();
        assertThat(says(a, Word.REFUSED)).isEmpty();
    }

    @Test
    void aBrokenConnectionProvesNothingAndUnsafeWorkWaitsForProof() {
        String a = offered(Effect.UNSAFE);
        assertThat(did(() -> attempts.linkBroken(now, "n", actions::add))).isEmpty();
        assertThat(outcome(inventory(5, Set.of())).neverRan).isTrue();
        assertThat(says(a, Word.ACCEPTED)).containsExactly(new Withdraw("n", a));
    }

    @Test
    void whatMayBeRepeatedFreelyIsGivenUpWithTheConnection() {
        String a = offered(Effect.SAFE);
        assertThat(outcome(did(() -> attempts.linkBroken(now, "n", actions::add))))
                .isEqualTo(Outcome.LOST);
        assertThat(inventory(5, Set.of(a)))
                .containsExactly(new Withdraw("n", a)); // a copy that nobody looks after
    }

    @Test
    void anInventoryThatHoldsItProvesThatItWasAccepted() {
        String a = offered(Effect.KEYED);
        did(() -> attempts.linkBroken(now, "n", actions::add));
        assertThat(inventory(5, Set.of(a))).contains(new IsPlaced("q1", "n"));
    }

    @Test
    void theInventoryOfALaterLifeProvesNothing() {
        offered(Effect.UNSAFE);
        assertThat(inventory(6, Set.of())).isEmpty();
        assertThat(outcome(did(() -> attempts.lifeOver(now, "n", 5, actions::add))))
                .isEqualTo(Outcome.LOST);
    }

    @Test
    void unansweredInItsTimeItIsGivenUpAndWithdrawnAndALateYesDoesNotStand() {
        String a = offered(Effect.SAFE);
        now += 2 * SECOND;
        List<Action> led = did(() -> attempts.tick(now, actions::add));
        assertThat(led.get(0)).isEqualTo(new Withdraw("n", a));
        assertThat(outcome(led)).isEqualTo(Outcome.TIMED_OUT);
        assertThat(says(a, Word.ACCEPTED)).containsExactly(new Withdraw("n", a));
        assertThat(says(a, Word.WITHDRAWN)).isEmpty();
    }

    @Test
    void aPlacedTaskOutlastsItsTimeOutAndEndsOnce() {
        String a = offered(Effect.SAFE);
        assertThat(says(a, Word.ACCEPTED))
                .anyMatch(x -> x instanceof Tell t && t.event() instanceof Placed);
        now += 10 * SECOND;
        assertThat(did(() -> attempts.tick(now, actions::add))).isEmpty();
        assertThat(says(a, Word.ENDED)).contains(new Over("q1", "n", Fate.ENDED));
        assertThat(says(a, Word.ENDED)).isEmpty();
        assertThat(attempts.size()).isZero();
    }

    @Test
    void runningProvesAcceptanceWhereThatAnswerWasLost() {
        String a = offered(Effect.UNSAFE);
        assertThat(says(a, Word.RUNS)).contains(new IsPlaced("q1", "n"));
    }

    @Test
    void aPlacedTaskThatTheSameLifeNoLongerHoldsIsLost() {
        String a = offered(Effect.SAFE);
        says(a, Word.ACCEPTED);
        assertThat(did(() -> attempts.linkBroken(now, "n", actions::add))).isEmpty();
        assertThat(inventory(5, Set.of())).contains(new Over("q1", "n", Fate.LOST));
    }

    @Test
    void aStopIsNamedByWhoAskedForIt() {
        String a = offered(Effect.SAFE);
        says(a, Word.ACCEPTED);
        assertThat(did(() -> attempts.unwanted("q1", Fate.MOVED, actions::add)))
                .containsExactly(new Withdraw("n", a));
        assertThat(says(a, Word.WITHDRAWN)).contains(new Over("q1", "n", Fate.MOVED));
    }

    @Test
    void aNodeThatAnswersWhatItNeverGotIsGuilty() {
        String a = offered(Effect.SAFE);
        List<Action> led =
                did(
                        () ->
                                attempts.said(
                                        now,
                                        "m",
                                        a,
                                        Word.ACCEPTED,
                                        Reason.NONE,
                                        false,
                                        null,
                                        actions::add));
        assertThat(led).singleElement().isInstanceOf(Guilty.class);
        led =
                did(
                        () ->
                                attempts.said(
                                        now,
                                        "n",
                                        "p.1-999",
                                        Word.ENDED,
                                        Reason.NONE,
                                        false,
                                        null,
                                        actions::add));
        assertThat(led).singleElement().isInstanceOf(Guilty.class);
        assertThat(says(a, Word.ACCEPTED))
                .contains(new IsPlaced("q1", "n")); // nothing lost for the honest one
    }

    @Test
    void workOfAFormerLifeIsTakenOverAndThenLookedAfter() {
        assertThat(inventory(5, Set.of("p.0-7"))).containsExactly(new Adopt("n", "p.0-7"));
        attempts.adopted(now, "p.0-7", "q9", "n", 5, Effect.UNSAFE, true);
        assertThat(says("p.0-7", Word.ENDED)).contains(new Over("q9", "n", Fate.ENDED));
    }

    @Test
    void everyAttemptEndsExactlyOnceWhateverHappens() {
        java.util.SplittableRandom random = new java.util.SplittableRandom(3);
        for (int run = 0; run < 2_000; run++) {
            Attempts all = new Attempts("r" + run);
            Effect effect = Effect.values()[random.nextInt(3)];
            String a = all.offered(0, "q", 0, "n", 5, effect, 1_000);
            List<Action> seen = new ArrayList<>();
            for (int step = 0; step < 8; step++) {
                long at = step * 200;
                switch (random.nextInt(6)) {
                    case 0 -> all.linkBroken(at, "n", seen::add);
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
                            all.said(
                                    at,
                                    "n",
                                    a,
                                    Word.values()[random.nextInt(Word.values().length)],
                                    Reason.NONE,
                                    random.nextBoolean(),
                                    null,
                                    seen::add);
                    case 3 -> all.tick(at, seen::add);
                    case 4 -> all.notWritten(at, a, seen::add);
                    default -> all.unwanted("q", Fate.STOPPED, seen::add);
                }
            }
            all.lifeOver(5_000, "n", 5, seen::add);
            assertThat(
                            seen.stream()
                                    .filter(x -> x instanceof Tell t && t.event() instanceof Ended)
                                    .count())
                    .as("run " + run + ": " + seen)
                    .isEqualTo(1);
            assertThat(seen.stream().filter(IsPlaced.class::isInstance).count())
                    .isLessThanOrEqualTo(1);
        }
    }
}

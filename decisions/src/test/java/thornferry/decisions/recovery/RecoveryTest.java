package thornferry.decisions.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.Attempts.Fate;
import thornferry.decisions.Attempts.Word;
import thornferry.decisions.Intake.Result;
import thornferry.decisions.Intake.Wish;
import thornferry.decisions.Placement.Effect;
import thornferry.decisions.recovery.Recovery.Action;
import thornferry.decisions.recovery.Recovery.Doubt;
import thornferry.decisions.recovery.Recovery.Failed;
import thornferry.decisions.recovery.Recovery.Proven;
import thornferry.decisions.recovery.Recovery.Ran;
import thornferry.decisions.recovery.Recovery.Recalled;
import thornferry.decisions.recovery.Recovery.Restored;
import thornferry.decisions.recovery.Recovery.Testimony;
import thornferry.decisions.recovery.Recovery.Unprovable;

class RecoveryTest {
    private static final long SECOND = 1_000_000;
    private static final Wish WISH = new Wish("t", "levy-run", "s", "", 1, 1, null, 0);

    private final Recovery recovery =
            new Recovery(new Recovery.Limits(60 * SECOND, 600 * SECOND, 10 * SECOND, 100, false));
    private final List<Action> actions = new ArrayList<>();
    private static final long NOW = 1_000 * SECOND;
    private final long now = NOW;

    private static Promise offered(long at) {
        return new Promise.Offered(at, "old-1", "o", "x", WISH, Effect.UNSAFE, "n", 7);
    }

    private static Promise answered(long at, Result result) {
        return new Promise.Answered(at, "o", "x", WISH, Effect.UNSAFE, result, "n", "why");
    }

    private void begin(Promise... journal) {
        for (Promise p : journal) {
            recovery.note(p);
        }
        recovery.begin(now, actions::add);
    }

    private List<Action> registers(long incarnation, long since, Recalled... recalled) {
        actions.clear();
        recovery.testifies(
                now,
                new Testimony(
                        "n",
                        incarnation,
                        Set.of(),
                        List.of(recalled),
                        Map.of(Effect.UNSAFE, since)),
                attempt -> attempt.startsWith("new"),
                actions::add);
        return actions;
    }

    private static Recalled recalled(Word word, boolean ran) {
        return new Recalled("old-1", "o", WISH, Effect.UNSAFE, word, ran, NOW - SECOND);
    }

    @Test
    void anOfferWithoutAnOutcomeIsHeldUntilItsNodeSaysThatItNeverCame() {
        begin(offered(now - SECOND));
        assertThat(recovery.doubt("o", "t")).isEqualTo(Doubt.HELD);
        assertThat(recovery.doubt("other", "t")).isEqualTo(Doubt.NONE);
        assertThat(recovery.suspect("o", "t")).isEqualTo("n");
        assertThat(registers(7, Testimony.ITS_WHOLE_LIFE)).containsExactly(new Proven("o", "t"));
        assertThat(recovery.doubt("o", "t")).isEqualTo(Doubt.NONE);
    }

    @Test
    void aNodeThatRemembersOnlyWhatEndedLaterProvesIt() {
        begin(offered(now - SECOND));
        assertThat(registers(7, now - 2 * SECOND)).containsExactly(new Proven("o", "t"));
    }

    @Test
    void aNodeThatForgotSinceOrDoesNotSayProvesNothing() {
        begin(offered(now - 2 * SECOND));
        assertThat(registers(7, now - SECOND)).containsExactly(new Unprovable("o", "t", "n"));
        assertThat(recovery.doubt("o", "t")).isEqualTo(Doubt.MAY_HAVE_RUN);
    }

    @Test
    void anOfferThatSeemsToLieAheadCannotBeCompared() {
        begin(offered(now + 5 * SECOND)); // the clock was set back between the lives
        assertThat(registers(7, now - SECOND)).containsExactly(new Unprovable("o", "t", "n"));
    }

    @Test
    void anotherLifeOfTheNodeProvesNothingHoweverMuchItRemembers() {
        begin(offered(now - SECOND));
        assertThat(registers(8, Testimony.ITS_WHOLE_LIFE))
                .containsExactly(new Unprovable("o", "t", "n"));
    }

    @Test
    void anEndThatTheNodeRemembersIsTheTasksResult() {
        begin(offered(now - SECOND));
        assertThat(registers(7, Testimony.ITS_WHOLE_LIFE, recalled(Word.ENDED, true)))
                .contains(new Ran("o", "x", WISH, "n", Fate.ENDED, false))
                .doesNotHaveAnyElementsOfTypes(Proven.class);
        recovery.note(answered(now, Result.PLACED)); // as the placer does then
        recovery.note(new Promise.Finished(now, "o", "t", Fate.ENDED));
        assertThat(registers(7, Testimony.ITS_WHOLE_LIFE, recalled(Word.ENDED, true)))
                .isEmpty(); // told once
    }

    @Test
    void whatWasDroppedUnstartedNeverRanAndWhatWasDroppedLaterDidNotEnd() {
        begin(offered(now - SECOND));
        assertThat(registers(7, now, recalled(Word.WITHDRAWN, false)))
                .containsExactly(new Proven("o", "t"));
        recovery.note(offered(now));
        begin();
        assertThat(registers(7, now, recalled(Word.WITHDRAWN, true)))
                .first()
                .isInstanceOf(Failed.class);
    }

    @Test
    void withoutAJournalTheNodesMemoryAloneTellsWhatRan() {
        begin();
        assertThat(registers(7, Testimony.ITS_WHOLE_LIFE, recalled(Word.EVICTED, true)))
                .containsExactly(new Ran("o", "", WISH, "n", Fate.EVICTED, false));
        assertThat(
                        registers(
                                7,
                                Testimony.ITS_WHOLE_LIFE,
                                new Recalled(
                                        "new-1", "o", WISH, Effect.UNSAFE, Word.ENDED, true, now)))
                .isEmpty(); // of this life: that is known otherwise
    }

    @Test
    void whatEndedLongAgoIsKeptForOneWhoAsksAndToldToNobodyElse() {
        begin();
        assertThat(
                        registers(
                                7,
                                Testimony.ITS_WHOLE_LIFE,
                                new Recalled(
                                        "old-1",
                                        "o",
                                        WISH,
                                        Effect.UNSAFE,
                                        Word.ENDED,
                                        true,
                                        now - 61 * SECOND)))
                .containsExactly(new Ran("o", "", WISH, "n", Fate.ENDED, true));
    }

    @Test
    void resultsOfAFormerLifeAreRestoredAndAPlacedTaskThatIsNowhereIsLost() {
        begin(offered(now - SECOND), answered(now - SECOND, Result.PLACED));
        assertThat(actions)
                .containsExactly(new Restored("o", "x", WISH, Result.PLACED, "n", "why", null));
        assertThat(recovery.doubt("o", "t")).isEqualTo(Doubt.NONE);
        assertThat(registers(7, Testimony.ITS_WHOLE_LIFE))
                .containsExactly(new Ran("o", "x", WISH, "n", Fate.LOST, false));
    }

    @Test
    void aPlacedTaskWhoseNodeNeverComesIsLostAfterAWhile() {
        begin(offered(now - SECOND), answered(now - SECOND, Result.PLACED));
        actions.clear();
        recovery.tick(now + 9 * SECOND, actions::add);
        assertThat(actions).isEmpty();
        recovery.tick(now + 10 * SECOND, actions::add);
        assertThat(actions).containsExactly(new Ran("o", "x", WISH, "n", Fate.LOST, false));
    }

    @Test
    void aFailureIsRestoredAndWhatIsKeptLongEnoughIsForgotten() {
        begin(offered(now - 30 * SECOND), answered(now - 20 * SECOND, Result.FAILED));
        assertThat(actions)
                .containsExactly(new Restored("o", "x", WISH, Result.FAILED, "n", "why", null));
        recovery.tick(now + 39 * SECOND, actions::add);
        assertThat(recovery.size()).isOne();
        recovery.tick(now + 40 * SECOND, actions::add);
        assertThat(recovery.size()).isZero();
    }

    @Test
    void whatIsOlderThanAnyPatienceIsNotReadAndAJournalFromAheadIsAsOldAsNow() {
        begin(offered(now - 661 * SECOND));
        assertThat(recovery.size()).isZero();
        begin(offered(now + 86_400 * SECOND));
        recovery.tick(now + 659 * SECOND, actions::add);
        assertThat(recovery.doubt("o", "t")).isEqualTo(Doubt.HELD);
        recovery.tick(now + 660 * SECOND, actions::add);
        assertThat(recovery.doubt("o", "t")).isEqualTo(Doubt.NONE);
    }

    @Test
    void aSnapshotReadAgainSaysTheSame() {
        begin(
                offered(now),
                answered(now, Result.PLACED),
                new Promise.Offered(
                        now,
                        "old-2",
                        "o",
                        "x",
                        new Wish("u", "levy-run", "s", "", 1, 1, null, 0),
                        Effect.UNSAFE,
                        "m",
                        3));
        Recovery again = new Recovery(recovery.limits());
        recovery.snapshot().forEach(again::note);
        assertThat(again.snapshot()).isEqualTo(recovery.snapshot()).hasSize(3);
        recovery.note(new Promise.NeverRan(now, "o", "u", "old-2"));
        assertThat(recovery.snapshot()).hasSize(2); // nothing is left to remember of what never ran
    }
}

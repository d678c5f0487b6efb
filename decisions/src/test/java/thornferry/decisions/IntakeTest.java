package thornferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.Attempts.Fate;
import thornferry.decisions.Intake.Abandon;
import thornferry.decisions.Intake.Action;
import thornferry.decisions.Intake.Deliver;
import thornferry.decisions.Intake.Hand;
import thornferry.decisions.Intake.News;
import thornferry.decisions.Intake.Result;
import thornferry.decisions.Intake.Unacceptable;
import thornferry.decisions.Intake.Wish;

class IntakeTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    private final List<Action> actions = new ArrayList<>();
    private long now = 1_000 * SECOND;
    private Intake intake =
            intake(
                    new Intake.Limits(
                            3, 5, 60 * SECOND, 20 * SECOND, 3 * SECOND, SECOND, 8 * SECOND));

    private Intake intake(Intake.Limits limits) {
        Intake made = new Intake(limits, new Fixtures().classes, 7, now);
        now += 10 * SECOND; // well after the start, when nothing settles any more
        for (long at = now - 10 * SECOND; at <= now; at += 100_000) {
            made.tick(at, action -> {});
        }
        return made;
    }

    private static Wish wish(String id, String cls) {
        return new Wish(id, cls, "service", cls.startsWith("keyed") ? "key" : "", 1, 2, null, 0);
    }

    private List<Action> asks(String owner, Wish wish) throws Unacceptable {
        actions.clear();
        intake.ask(now, owner, "", wish, actions::add);
        return List.copyOf(actions);
    }

    private List<Action> did(Runnable what) {
        actions.clear();
        what.run();
        return List.copyOf(actions);
    }

    private static String handed(List<Action> led) {
        return led.stream()
                .filter(Hand.class::isInstance)
                .map(a -> ((Hand) a).ask().id())
                .findFirst()
                .orElse(null);
    }

    private static Hand hand(List<Action> led) {
        return led.stream()
                .filter(Hand.class::isInstance)
                .map(Hand.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static List<News> told(List<Action> led) {
        return led.stream()
                .filter(Deliver.class::isInstance)
                .map(a -> ((Deliver) a).news())
                .toList();
    }

    private static News only(List<Action> led) {
        assertThat(told(led)).hasSize(1);
        return told(led).get(0);
    }

    @Test
    void askedAgainWhileInHandNothingMoreHappens() throws Unacceptable {
        String q = handed(asks("o", wish("t", "safe")));
        assertThat(asks("o", wish("t", "safe"))).isEmpty();
        News news = only(did(() -> intake.placed(now, q, "n", actions::add)));
        assertThat(news.result()).isEqualTo(Result.PLACED);
        assertThat(news.machine()).isEqualTo("n");
    }

    @Test
    void askedAgainAfterItWasPlacedTheKeptResultIsRepeated() throws Unacceptable {
        String q = handed(asks("o", wish("t", "unsafe")));
        intake.placed(now, q, "n", actions::add);
        List<Action> led = asks("o", wish("t", "unsafe"));
        assertThat(handed(led)).isNull();
        assertThat(only(led).repeat()).isTrue();
        assertThat(only(led).result()).isEqualTo(Result.PLACED);
    }

    @Test
    void askedAgainAfterARefusalItIsAskedAnewAndWaitsLonger() throws Unacceptable {
        long before = 0;
        for (int i = 0; i < 4; i++) {
            String q = handed(asks("o", wish("t", "safe")));
            assertThat(q).isNotNull();
            News no = only(did(() -> intake.refused(now, q, 0, "", actions::add)));
            long base = Math.min(8 * SECOND, SECOND << i);
            assertThat(no.retryAfter()).isBetween(base / 2, base).isGreaterThan(before / 2);
            before = no.retryAfter();
        }
    }

    @Test
    void anotherShapeUnderTheSameNameIsAnError() throws Unacceptable {
        asks("o", wish("t", "safe"));
        assertThatThrownBy(() -> asks("o", new Wish("t", "safe", "service", "", 9, 2, null, 0)))
                .isInstanceOf(Unacceptable.class)
                .hasMessageContaining("another shape");
        assertThat(asks("o", new Wish("t", "safe", "service", "", 1, 2, 5 * SECOND, 3))).isEmpty();
    }

    @Test
    void twoOwnersMayUseOneNameAndNeverMeet() throws Unacceptable {
        String mine = handed(asks("o", wish("t", "safe")));
        String theirs = handed(asks("p", wish("t", "safe")));
        assertThat(mine).isNotNull().isNotEqualTo(theirs);
        assertThat(only(did(() -> intake.placed(now, theirs, "n", actions::add))).owner())
                .isEqualTo("p");
        assertThatThrownBy(() -> intake.stop(now, "q", "t", actions::add))
                .isInstanceOf(Unacceptable.class);
    }

    @Test
    void whatWasNotDeliveredWaitsForItsOwner() throws Unacceptable {
        String q = handed(asks("o", wish("t", "safe")));
        News news = only(did(() -> intake.placed(now, q, "n", actions::add)));
        assertThat(intake.undelivered("o")).containsExactly(news);
        intake.delivered("o", news.number());
        assertThat(intake.undelivered("o")).isEmpty();
    }

    @Test
    void anUndeliveredRefusalIsNotTakenForTheAnswerToALaterAsk() throws Unacceptable {
        String q = handed(asks("o", wish("t", "safe")));
        intake.refused(now, q, 0, "", actions::add); // its connection broke: nobody was told
        String r = handed(asks("o", wish("t", "safe")));
        assertThat(intake.undelivered("o")).isEmpty();
        intake.placed(now, r, "n", actions::add);
        intake.over(now, r, "n", Fate.LOST, actions::add);
        assertThat(intake.undelivered("o")).hasSize(2);
        assertThat(handed(asks("o", wish("t", "safe")))).isNotNull();
        assertThat(intake.undelivered("o")).isEmpty();
    }

    @Test
    void whatNobodyHeardIsNotKeptForEver() throws Unacceptable {
        String q = handed(asks("o", wish("t", "safe")));
        intake.placed(now, q, "n", actions::add);
        intake.over(now, q, "n", Fate.ENDED, actions::add);
        for (int i = 0; i < 5; i++) {
            asks("o", wish("t", "safe")); // told again each time, in the place of the last
        }
        assertThat(intake.undelivered("o")).hasSize(2).allMatch(News::repeat);
        now += 61 * SECOND;
        intake.tick(now, actions::add);
        assertThat(intake.undelivered("o")).isEmpty();
    }

    @Test
    void aModuleThatSaysNothingIsAnsweredForAndTheRequestAbandoned() throws Unacceptable {
        String q = handed(asks("o", wish("t", "safe")));
        now += 8 * SECOND + 2 * MS; // the class's deadline and the backstop
        List<Action> led = did(() -> intake.tick(now, actions::add));
        assertThat(led.get(0)).isEqualTo(new Abandon(q, Fate.STOPPED));
        assertThat(only(led).result()).isEqualTo(Result.FAILED);
        assertThat(did(() -> intake.placed(now, q, "n", actions::add)))
                .isEmpty(); // too late: one result only
        assertThat(intake.inHand()).isZero();
    }

    @Test
    void patienceMayBeNoughtOrAbsurdOrMissing() throws Unacceptable {
        Hand none = hand(asks("o", new Wish("a", "safe", "s", "", 1, 1, 0L, 0)));
        assertThat(none.ask().patience()).isZero();
        Hand absurd = hand(asks("o", new Wish("b", "safe", "s", "", 1, 1, Long.MAX_VALUE / 2, 0)));
        assertThat(absurd.ask().patience()).isEqualTo(20 * SECOND);
        Hand missing = hand(asks("o", wish("c", "safe")));
        assertThat(missing.ask().patience()).isEqualTo(8 * SECOND);
        assertThatThrownBy(() -> asks("o", new Wish("d", "safe", "s", "", 1, 1, -1L, 0)))
                .isInstanceOf(Unacceptable.class)
                .hasMessageContaining("patienceMs");
    }

    @Test
    void wishesThatMakeNoSenseAreNamed() {
        assertThatThrownBy(() -> asks("o", wish("t", "odd"))).hasMessageContaining("taskClass odd");
        assertThatThrownBy(() -> asks("o", wish("", "safe"))).hasMessageContaining("id");
        assertThatThrownBy(() -> asks("o", new Wish("t", "safe", "s", "", Double.NaN, 1, null, 0)))
                .hasMessageContaining("cores");
        assertThatThrownBy(() -> asks("o", new Wish("t", "keyed", "s", "", 1, 1, null, 0)))
                .hasMessageContaining("needs a key");
        assertThat(intake.known()).isZero();
    }

    @Test
    void beyondTheBoundAnAskIsRefusedAndMayBeTriedAgain() throws Unacceptable {
        for (int i = 0; i < 3; i++) {
            asks("o", wish("t" + i, "safe"));
        }
        News no = only(asks("o", wish("more", "safe")));
        assertThat(no.result()).isEqualTo(Result.REFUSED);
        assertThat(no.retryAfter()).isPositive();
        intake.stop(now, "o", "t0", actions::add);
        assertThat(handed(asks("o", wish("more", "safe")))).isNotNull();
    }

    @Test
    void stoppedInHandItFailsAndPlacedItIsWithdrawn() throws Unacceptable {
        String q = handed(asks("o", wish("t", "safe")));
        actions.clear();
        intake.stop(now, "o", "t", actions::add);
        assertThat(actions.get(0)).isEqualTo(new Abandon(q, Fate.STOPPED));
        assertThat(only(actions).result()).isEqualTo(Result.FAILED);
        String r = handed(asks("o", wish("u", "safe")));
        intake.placed(now, r, "n", actions::add);
        actions.clear();
        intake.stop(now, "o", "u", actions::add);
        assertThat(actions).containsExactly(new Abandon(r, Fate.STOPPED));
        assertThat(only(did(() -> intake.over(now, r, "n", Fate.STOPPED, actions::add))).fate())
                .isEqualTo(Fate.STOPPED);
    }

    @Test
    void afterALossItMayBeAskedForAgainButNeverWhereASecondStartDoesHarm() throws Unacceptable {
        for (String cls : List.of("safe", "unsafe")) {
            String q = handed(asks("o", wish(cls, cls)));
            intake.placed(now, q, "n", actions::add);
            intake.over(now, q, "n", Fate.LOST, actions::add);
            List<Action> led = asks("o", wish(cls, cls));
            assertThat(handed(led) != null).as(cls).isEqualTo(cls.equals("safe"));
        }
        assertThat(told(actions))
                .extracting(News::repeat)
                .containsExactly(true, true); // placed, and then lost
    }

    @Test
    void keptResultsAreBoundedAndADroppedOneIsAnsweredNotStartedAgain() throws Unacceptable {
        for (int i = 0; i < 8; i++) {
            String q = handed(asks("o", wish("t" + i, "unsafe")));
            intake.placed(now, q, "n", actions::add);
            intake.over(now, q, "n", Fate.ENDED, actions::add);
            now += MS;
        }
        intake.tick(now, actions::add);
        assertThat(intake.known()).isEqualTo(5);
        List<Action> led = asks("o", wish("t0", "unsafe"));
        assertThat(handed(led)).isNull();
        assertThat(only(led).result()).isEqualTo(Result.FAILED);
        assertThat(only(led).reason()).contains("no longer kept");
        now += 61 * SECOND;
        intake.tick(now, actions::add);
        assertThat(intake.known()).isZero();
        assertThat(handed(asks("o", wish("t0", "unsafe"))))
                .isNotNull(); // its time is over: a new task
    }

    @Test
    void afterAStartUnsafeAsksWaitAndWhatRunsAlreadyIsTheirResult() throws Unacceptable {
        Intake fresh =
                new Intake(
                        new Intake.Limits(
                                3, 5, 60 * SECOND, 20 * SECOND, 3 * SECOND, SECOND, 8 * SECOND),
                        new Fixtures().classes,
                        7,
                        now);
        intake = fresh;
        assertThat(handed(asks("o", wish("t", "unsafe")))).isNull();
        assertThat(handed(asks("o", wish("u", "unsafe")))).isNull();
        assertThat(handed(asks("o", wish("v", "safe")))).isNotNull();
        actions.clear();
        assertThat(fresh.adopt(now, "o", "", wish("t", "unsafe"), "n", actions::add)).isNotNull();
        assertThat(only(actions).result()).isEqualTo(Result.PLACED);
        actions.clear();
        now += SECOND;
        fresh.tick(now, actions::add); // it stood still for a second, and heard nobody meanwhile
        for (int i = 0; i < 30; i++) {
            assertThat(actions).as("after %d ms", 1_000 + i * 100).isEmpty();
            now += 100_000;
            fresh.tick(now, actions::add);
        }
        assertThat(actions).hasSize(1);
        assertThat(((Hand) actions.get(0)).ask().task()).contains("u");
        assertThat(fresh.inHand()).isEqualTo(2);
    }

    @Test
    void aSecondCopyFoundOnAnotherNodeIsNotTakenOver() throws Unacceptable {
        String q = handed(asks("o", wish("t", "keyed")));
        intake.placed(now, q, "n", actions::add);
        assertThat(intake.adopt(now, "o", "", wish("t", "keyed"), "m", actions::add)).isNull();
    }

    @Test
    void whatRunsAlreadyEndsARequestThatIsOut() throws Unacceptable {
        String q = handed(asks("o", wish("t", "safe")));
        actions.clear();
        Placement.Ask ask = intake.adopt(now, "o", "", wish("t", "safe"), "m", actions::add);
        assertThat(actions.get(0)).isEqualTo(new Abandon(q, Fate.STOPPED));
        assertThat(only(actions).machine()).isEqualTo("m");
        assertThat(intake.inHand()).isZero();
        assertThat(did(() -> intake.refused(now, q, 0, "", actions::add))).isEmpty();
        assertThat(
                        only(did(() -> intake.over(now, ask.id(), "m", Fate.ENDED, actions::add)))
                                .fate())
                .isEqualTo(Fate.ENDED);
    }

    @Test
    void theReasonOfARefusalNamesTheLastNodeThatTurnedItDown() throws Unacceptable {
        String q = handed(asks("o", wish("t", "safe")));
        intake.turnedDown(q, "n", Placement.Reason.NO_MEMORY);
        assertThat(only(did(() -> intake.refused(now, q, 0, "", actions::add))).reason())
                .isEqualTo("node n refused last: not enough memory");
    }
}

package thornferry.decisions.requests;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.PolicyFixtures;
import thornferry.decisions.requests.RequestTracker.Abandon;
import thornferry.decisions.requests.RequestTracker.Action;
import thornferry.decisions.requests.RequestTracker.Dispatch;
import thornferry.decisions.requests.RequestTracker.Notify;

class RequestTrackerTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    private final List<Action> actions = new ArrayList<>();
    private long now = 1_000 * SECOND;
    private RequestTracker intake =
            intake(
                    new RequestTracker.Limits(
                            3, 5, 60 * SECOND, 20 * SECOND, 3 * SECOND, SECOND, 8 * SECOND));

    private RequestTracker intake(RequestTracker.Limits limits) {
        RequestTracker made = new RequestTracker(limits, new PolicyFixtures().classes, 7, now);
        now += 10 * SECOND; // well after the start, when nothing settles any more
        for (long at = now - 10 * SECOND; at <= now; at += 100_000) {
            made.tick(at, action -> {});
        }
        return made;
    }

    private static TaskSpec wish(String id, String cls) {
        return new TaskSpec(
                id, cls, "service", cls.startsWith("keyed") ? "key" : "", 1, 2, null, 0);
    }

    private List<Action> asks(String owner, TaskSpec wish) throws InvalidRequestException {
        actions.clear();
        intake.submit(now, owner, "", wish, actions::add);
        return List.copyOf(actions);
    }

    private List<Action> did(Runnable what) {
        actions.clear();
        what.run();
        return List.copyOf(actions);
    }

    private static String handed(List<Action> led) {
        return led.stream()
                .filter(Dispatch.class::isInstance)
                .map(a -> ((Dispatch) a).request().id())
                .findFirst()
                .orElse(null);
    }

    private static Dispatch hand(List<Action> led) {
        return led.stream()
                .filter(Dispatch.class::isInstance)
                .map(Dispatch.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static List<ResultNotification> told(List<Action> led) {
        return led.stream()
                .filter(Notify.class::isInstance)
                .map(a -> ((Notify) a).notification())
                .toList();
    }

    private static ResultNotification only(List<Action> led) {
        assertThat(told(led)).hasSize(1);
        return told(led).get(0);
    }

    @Test
    void askedAgainWhileInHandNothingMoreHappens() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "safe")));
        assertThat(asks("o", wish("t", "safe"))).isEmpty();
        ResultNotification news = only(did(() -> intake.placed(now, q, "n", actions::add)));
        assertThat(news.result()).isEqualTo(RequestResult.PLACED);
        assertThat(news.machine()).isEqualTo("n");
    }

    @Test
    void askedAgainAfterItWasPlacedTheKeptResultIsRepeated() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "unsafe")));
        intake.placed(now, q, "n", actions::add);
        List<Action> led = asks("o", wish("t", "unsafe"));
        assertThat(handed(led)).isNull();
        assertThat(only(led).repeated()).isTrue();
        assertThat(only(led).result()).isEqualTo(RequestResult.PLACED);
    }

    @Test
    void askedAgainAfterARefusalItIsAskedAnewAndWaitsLonger() throws InvalidRequestException {
        long before = 0;
        for (int i = 0; i < 4; i++) {
            String q = handed(asks("o", wish("t", "safe")));
            assertThat(q).isNotNull();
            ResultNotification no = only(did(() -> intake.rejected(now, q, 0, "", actions::add)));
            long base = Math.min(8 * SECOND, SECOND << i);
            assertThat(no.retryAfterMicros()).isBetween(base / 2, base).isGreaterThan(before / 2);
            before = no.retryAfterMicros();
        }
    }

    @Test
    void anotherShapeUnderTheSameNameIsAnError() throws InvalidRequestException {
        asks("o", wish("t", "safe"));
        assertThatThrownBy(() -> asks("o", new TaskSpec("t", "safe", "service", "", 9, 2, null, 0)))
                .isInstanceOf(InvalidRequestException.class)
                .hasMessageContaining("another shape");
        assertThat(asks("o", new TaskSpec("t", "safe", "service", "", 1, 2, 5 * SECOND, 3)))
                .isEmpty();
    }

    @Test
    void twoOwnersMayUseOneNameAndNeverMeet() throws InvalidRequestException {
        String mine = handed(asks("o", wish("t", "safe")));
        String theirs = handed(asks("p", wish("t", "safe")));
        assertThat(mine).isNotNull().isNotEqualTo(theirs);
        assertThat(only(did(() -> intake.placed(now, theirs, "n", actions::add))).owner())
                .isEqualTo("p");
        assertThatThrownBy(() -> intake.stop(now, "q", "t", actions::add))
                .isInstanceOf(InvalidRequestException.class);
    }

    @Test
    void whatWasNotDeliveredWaitsForItsOwner() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "safe")));
        ResultNotification news = only(did(() -> intake.placed(now, q, "n", actions::add)));
        assertThat(intake.undelivered("o")).containsExactly(news);
        intake.delivered("o", news.sequence());
        assertThat(intake.undelivered("o")).isEmpty();
    }

    @Test
    void anUndeliveredRefusalIsNotTakenForTheAnswerToALaterAsk() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "safe")));
        intake.rejected(now, q, 0, "", actions::add); // its connection broke: nobody was told
        String r = handed(asks("o", wish("t", "safe")));
        assertThat(intake.undelivered("o")).isEmpty();
        intake.placed(now, r, "n", actions::add);
        intake.finished(now, r, "n", TerminationCause.LOST, actions::add);
        assertThat(intake.undelivered("o")).hasSize(2);
        assertThat(handed(asks("o", wish("t", "safe")))).isNotNull();
        assertThat(intake.undelivered("o")).isEmpty();
    }

    @Test
    void whatNobodyHeardIsNotKeptForEver() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "safe")));
        intake.placed(now, q, "n", actions::add);
        intake.finished(now, q, "n", TerminationCause.COMPLETED, actions::add);
        for (int i = 0; i < 5; i++) {
            asks("o", wish("t", "safe")); // told again each time, in the place of the last
        }
        assertThat(intake.undelivered("o")).hasSize(2).allMatch(ResultNotification::repeated);
        now += 61 * SECOND;
        intake.tick(now, actions::add);
        assertThat(intake.undelivered("o")).isEmpty();
    }

    @Test
    void aModuleThatSaysNothingIsAnsweredForAndTheRequestAbandoned()
            throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "safe")));
        now += 8 * SECOND + 2 * MS; // the class's deadline and the backstop
        List<Action> led = did(() -> intake.tick(now, actions::add));
        assertThat(led.get(0)).isEqualTo(new Abandon(q, TerminationCause.STOPPED));
        assertThat(only(led).result()).isEqualTo(RequestResult.FAILED);
        assertThat(did(() -> intake.placed(now, q, "n", actions::add)))
                .isEmpty(); // too late: one result only
        assertThat(intake.pendingCount()).isZero();
    }

    @Test
    void patienceMayBeNoughtOrAbsurdOrMissing() throws InvalidRequestException {
        Dispatch none = hand(asks("o", new TaskSpec("a", "safe", "s", "", 1, 1, 0L, 0)));
        assertThat(none.request().maxWaitMicros()).isZero();
        Dispatch absurd =
                hand(asks("o", new TaskSpec("b", "safe", "s", "", 1, 1, Long.MAX_VALUE / 2, 0)));
        assertThat(absurd.request().maxWaitMicros()).isEqualTo(20 * SECOND);
        Dispatch missing = hand(asks("o", wish("c", "safe")));
        assertThat(missing.request().maxWaitMicros()).isEqualTo(8 * SECOND);
        assertThatThrownBy(() -> asks("o", new TaskSpec("d", "safe", "s", "", 1, 1, -1L, 0)))
                .isInstanceOf(InvalidRequestException.class)
                .hasMessageContaining("patienceMs");
    }

    @Test
    void wishesThatMakeNoSenseAreNamed() {
        assertThatThrownBy(() -> asks("o", wish("t", "odd"))).hasMessageContaining("taskClass odd");
        assertThatThrownBy(() -> asks("o", wish("", "safe"))).hasMessageContaining("id");
        assertThatThrownBy(
                        () -> asks("o", new TaskSpec("t", "safe", "s", "", Double.NaN, 1, null, 0)))
                .hasMessageContaining("cores");
        assertThatThrownBy(() -> asks("o", new TaskSpec("t", "keyed", "s", "", 1, 1, null, 0)))
                .hasMessageContaining("needs a key");
        assertThat(intake.known()).isZero();
    }

    @Test
    void beyondTheBoundAnAskIsRefusedAndMayBeTriedAgain() throws InvalidRequestException {
        for (int i = 0; i < 3; i++) {
            asks("o", wish("t" + i, "safe"));
        }
        ResultNotification no = only(asks("o", wish("more", "safe")));
        assertThat(no.result()).isEqualTo(RequestResult.REJECTED);
        assertThat(no.retryAfterMicros()).isPositive();
        intake.stop(now, "o", "t0", actions::add);
        assertThat(handed(asks("o", wish("more", "safe")))).isNotNull();
    }

    @Test
    void stoppedInHandItFailsAndPlacedItIsWithdrawn() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "safe")));
        actions.clear();
        intake.stop(now, "o", "t", actions::add);
        assertThat(actions.get(0)).isEqualTo(new Abandon(q, TerminationCause.STOPPED));
        assertThat(only(actions).result()).isEqualTo(RequestResult.FAILED);
        String r = handed(asks("o", wish("u", "safe")));
        intake.placed(now, r, "n", actions::add);
        actions.clear();
        intake.stop(now, "o", "u", actions::add);
        assertThat(actions).containsExactly(new Abandon(r, TerminationCause.STOPPED));
        assertThat(
                        only(did(
                                        () ->
                                                intake.finished(
                                                        now,
                                                        r,
                                                        "n",
                                                        TerminationCause.STOPPED,
                                                        actions::add)))
                                .terminationCause())
                .isEqualTo(TerminationCause.STOPPED);
    }

    @Test
    void afterALossItMayBeAskedForAgainButNeverWhereASecondStartDoesHarm()
            throws InvalidRequestException {
        for (String cls : List.of("safe", "unsafe")) {
            String q = handed(asks("o", wish(cls, cls)));
            intake.placed(now, q, "n", actions::add);
            intake.finished(now, q, "n", TerminationCause.LOST, actions::add);
            List<Action> led = asks("o", wish(cls, cls));
            assertThat(handed(led) != null).as(cls).isEqualTo(cls.equals("safe"));
        }
        assertThat(told(actions))
                .extracting(ResultNotification::repeated)
                .containsExactly(true, true); // placed, and then lost
    }

    @Test
    void keptResultsAreBoundedAndADroppedOneIsAnsweredNotStartedAgain()
            throws InvalidRequestException {
        for (int i = 0; i < 8; i++) {
            String q = handed(asks("o", wish("t" + i, "unsafe")));
            intake.placed(now, q, "n", actions::add);
            intake.finished(now, q, "n", TerminationCause.COMPLETED, actions::add);
            now += MS;
        }
        intake.tick(now, actions::add);
        assertThat(intake.known()).isEqualTo(5);
        List<Action> led = asks("o", wish("t0", "unsafe"));
        assertThat(handed(led)).isNull();
        assertThat(only(led).result()).isEqualTo(RequestResult.FAILED);
        assertThat(only(led).reason()).contains("no longer kept");
        now += 61 * SECOND;
        intake.tick(now, actions::add);
        assertThat(intake.known()).isZero();
        assertThat(handed(asks("o", wish("t0", "unsafe"))))
                .isNotNull(); // its time is over: a new task
    }

    @Test
    void afterAStartUnsafeAsksWaitAndWhatRunsAlreadyIsTheirResult() throws InvalidRequestException {
        RequestTracker fresh =
                new RequestTracker(
                        new RequestTracker.Limits(
                                3, 5, 60 * SECOND, 20 * SECOND, 3 * SECOND, SECOND, 8 * SECOND),
                        new PolicyFixtures().classes,
                        7,
                        now);
        intake = fresh;
        assertThat(handed(asks("o", wish("t", "unsafe")))).isNull();
        assertThat(handed(asks("o", wish("u", "unsafe")))).isNull();
        assertThat(handed(asks("o", wish("v", "safe")))).isNotNull();
        actions.clear();
        assertThat(fresh.adopt(now, "o", "", wish("t", "unsafe"), "n", actions::add)).isNotNull();
        assertThat(only(actions).result()).isEqualTo(RequestResult.PLACED);
        actions.clear();
        now += SECOND;
        fresh.tick(now, actions::add); // it stood still for a second, and heard nobody meanwhile
        for (int i = 0; i < 30; i++) {
            assertThat(actions).as("after %d ms", 1_000 + i * 100).isEmpty();
            now += 100_000;
            fresh.tick(now, actions::add);
        }
        assertThat(actions).hasSize(1);
        assertThat(((Dispatch) actions.get(0)).request().task()).contains("u");
        assertThat(fresh.pendingCount()).isEqualTo(2);
    }

    @Test
    void aSecondCopyFoundOnAnotherNodeIsNotTakenOver() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "keyed")));
        intake.placed(now, q, "n", actions::add);
        assertThat(intake.adopt(now, "o", "", wish("t", "keyed"), "m", actions::add)).isNull();
    }

    @Test
    void whatRunsAlreadyEndsARequestThatIsOut() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "safe")));
        actions.clear();
        Placement.PlacementRequest ask =
                intake.adopt(now, "o", "", wish("t", "safe"), "m", actions::add);
        assertThat(actions.get(0)).isEqualTo(new Abandon(q, TerminationCause.STOPPED));
        assertThat(only(actions).machine()).isEqualTo("m");
        assertThat(intake.pendingCount()).isZero();
        assertThat(did(() -> intake.rejected(now, q, 0, "", actions::add))).isEmpty();
        assertThat(
                        only(did(
                                        () ->
                                                intake.finished(
                                                        now,
                                                        ask.id(),
                                                        "m",
                                                        TerminationCause.COMPLETED,
                                                        actions::add)))
                                .terminationCause())
                .isEqualTo(TerminationCause.COMPLETED);
    }

    @Test
    void theReasonOfARefusalNamesTheLastNodeThatTurnedItDown() throws InvalidRequestException {
        String q = handed(asks("o", wish("t", "safe")));
        intake.offerRejected(q, "n", Placement.OutcomeReason.INSUFFICIENT_MEMORY);
        assertThat(only(did(() -> intake.rejected(now, q, 0, "", actions::add))).reason())
                .isEqualTo("node n refused last: not enough memory");
    }
}

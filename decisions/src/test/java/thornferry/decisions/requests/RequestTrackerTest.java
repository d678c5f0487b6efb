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
    private static final long TICK_MICROS = 100 * MS;
    private static final long SEED = 7;
    private static final RequestTracker.Limits LIMITS =
            new RequestTracker.Limits(
                    3, 5, 60 * SECOND, 20 * SECOND, 3 * SECOND, SECOND, 8 * SECOND);

    private final List<Action> actions = new ArrayList<>();
    private long now = 1_000 * SECOND;
    private RequestTracker requests = settledTracker();

    private RequestTracker newTracker() {
        return new RequestTracker(LIMITS, new PolicyFixtures().classes, SEED, now);
    }

    /** A tracker well after its start, when nothing settles any more. */
    private RequestTracker settledTracker() {
        RequestTracker tracker = newTracker();
        now += 10 * SECOND;
        for (long at = now - 10 * SECOND; at <= now; at += TICK_MICROS) {
            tracker.tick(at, action -> {});
        }
        return tracker;
    }

    private static TaskSpec spec(String id, String taskClass) {
        String key = taskClass.startsWith("keyed") ? "key" : "";
        return new TaskSpec(id, taskClass, "service", key, 1, 2, null, 0);
    }

    private List<Action> submit(String owner, TaskSpec spec) throws InvalidRequestException {
        actions.clear();
        requests.submit(now, owner, "", spec, actions::add);
        return List.copyOf(actions);
    }

    private List<Action> actionsOf(Runnable call) {
        actions.clear();
        call.run();
        return List.copyOf(actions);
    }

    private static String dispatchedId(List<Action> taken) {
        return taken.stream()
                .filter(Dispatch.class::isInstance)
                .map(action -> ((Dispatch) action).request().id())
                .findFirst()
                .orElse(null);
    }

    private static Dispatch dispatch(List<Action> taken) {
        return taken.stream()
                .filter(Dispatch.class::isInstance)
                .map(Dispatch.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static List<ResultNotification> notifications(List<Action> taken) {
        return taken.stream()
                .filter(Notify.class::isInstance)
                .map(action -> ((Notify) action).notification())
                .toList();
    }

    private static ResultNotification onlyNotification(List<Action> taken) {
        assertThat(notifications(taken)).hasSize(1);
        return notifications(taken).get(0);
    }

    @Test
    void repeatedRequestHasNoEffectWhilePending() throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "safe")));
        assertThat(submit("o", spec("t", "safe"))).isEmpty();
        ResultNotification notification =
                onlyNotification(
                        actionsOf(() -> requests.placed(now, requestId, "n", actions::add)));
        assertThat(notification.result()).isEqualTo(RequestResult.PLACED);
        assertThat(notification.machine()).isEqualTo("n");
    }

    @Test
    void repeatedRequestAfterPlacementGetsRetainedResult() throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "unsafe")));
        requests.placed(now, requestId, "n", actions::add);
        List<Action> taken = submit("o", spec("t", "unsafe"));
        assertThat(dispatchedId(taken)).isNull();
        assertThat(onlyNotification(taken).repeated()).isTrue();
        assertThat(onlyNotification(taken).result()).isEqualTo(RequestResult.PLACED);
    }

    @Test
    void retryAfterRejectionIsDispatchedAgainWithGrowingBackoff() throws InvalidRequestException {
        long formerMicros = 0;
        for (int i = 0; i < 4; i++) {
            String requestId = dispatchedId(submit("o", spec("t", "safe")));
            assertThat(requestId).isNotNull();
            ResultNotification rejection =
                    onlyNotification(
                            actionsOf(
                                    () -> requests.rejected(now, requestId, 0, "", actions::add)));
            long backoffMicros = Math.min(8 * SECOND, SECOND << i);
            assertThat(rejection.retryAfterMicros())
                    .isBetween(backoffMicros / 2, backoffMicros)
                    .isGreaterThan(formerMicros / 2);
            formerMicros = rejection.retryAfterMicros();
        }
    }

    @Test
    void rejectsDifferentShapeUnderSameId() throws InvalidRequestException {
        submit("o", spec("t", "safe"));
        assertThatThrownBy(
                        () -> submit("o", new TaskSpec("t", "safe", "service", "", 9, 2, null, 0)))
                .isInstanceOf(InvalidRequestException.class)
                .hasMessageContaining("another shape");
        assertThat(submit("o", new TaskSpec("t", "safe", "service", "", 1, 2, 5 * SECOND, 3)))
                .isEmpty();
    }

    @Test
    void ownersMayUseTheSameTaskIdIndependently() throws InvalidRequestException {
        String firstId = dispatchedId(submit("o", spec("t", "safe")));
        String otherId = dispatchedId(submit("p", spec("t", "safe")));
        assertThat(firstId).isNotNull().isNotEqualTo(otherId);
        assertThat(
                        onlyNotification(
                                        actionsOf(
                                                () ->
                                                        requests.placed(
                                                                now, otherId, "n", actions::add)))
                                .owner())
                .isEqualTo("p");
        assertThatThrownBy(() -> requests.stop(now, "q", "t", actions::add))
                .isInstanceOf(InvalidRequestException.class);
    }

    @Test
    void undeliveredNotificationIsRetainedForItsOwner() throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "safe")));
        ResultNotification notification =
                onlyNotification(
                        actionsOf(() -> requests.placed(now, requestId, "n", actions::add)));
        assertThat(requests.undelivered("o")).containsExactly(notification);
        requests.delivered("o", notification.sequence());
        assertThat(requests.undelivered("o")).isEmpty();
    }

    @Test
    void resubmissionDiscardsUndeliveredNotificationsOfFormerRequest()
            throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "safe")));
        requests.rejected(
                now, requestId, 0, "", actions::add); // its connection broke: not delivered
        String secondId = dispatchedId(submit("o", spec("t", "safe")));
        assertThat(requests.undelivered("o")).isEmpty();
        requests.placed(now, secondId, "n", actions::add);
        requests.finished(now, secondId, "n", TerminationCause.LOST, actions::add);
        assertThat(requests.undelivered("o")).hasSize(2);
        assertThat(dispatchedId(submit("o", spec("t", "safe")))).isNotNull();
        assertThat(requests.undelivered("o")).isEmpty();
    }

    @Test
    void undeliveredNotificationsExpireWithTheResult() throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "safe")));
        requests.placed(now, requestId, "n", actions::add);
        requests.finished(now, requestId, "n", TerminationCause.COMPLETED, actions::add);
        for (int i = 0; i < 5; i++) {
            submit("o", spec("t", "safe")); // repeated each time, in place of the last
        }
        assertThat(requests.undelivered("o")).hasSize(2).allMatch(ResultNotification::repeated);
        now += 61 * SECOND;
        requests.tick(now, actions::add);
        assertThat(requests.undelivered("o")).isEmpty();
    }

    @Test
    void failsAndAbandonsRequestThatThePolicyDoesNotCompleteInTime()
            throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "safe")));
        now += 8 * SECOND + 2 * MS; // the class's deadline and the grace
        List<Action> taken = actionsOf(() -> requests.tick(now, actions::add));
        assertThat(taken.get(0)).isEqualTo(new Abandon(requestId, TerminationCause.STOPPED));
        assertThat(onlyNotification(taken).result()).isEqualTo(RequestResult.FAILED);
        assertThat(actionsOf(() -> requests.placed(now, requestId, "n", actions::add)))
                .isEmpty(); // too late: one result only
        assertThat(requests.pendingCount()).isZero();
    }

    @Test
    void boundsMaxWaitAndDefaultsToTheClassDeadline() throws InvalidRequestException {
        Dispatch zero = dispatch(submit("o", new TaskSpec("a", "safe", "s", "", 1, 1, 0L, 0)));
        assertThat(zero.request().maxWaitMicros()).isZero();
        Dispatch excessive =
                dispatch(
                        submit(
                                "o",
                                new TaskSpec("b", "safe", "s", "", 1, 1, Long.MAX_VALUE / 2, 0)));
        assertThat(excessive.request().maxWaitMicros()).isEqualTo(20 * SECOND);
        Dispatch missing = dispatch(submit("o", spec("c", "safe")));
        assertThat(missing.request().maxWaitMicros()).isEqualTo(8 * SECOND);
        assertThatThrownBy(() -> submit("o", new TaskSpec("d", "safe", "s", "", 1, 1, -1L, 0)))
                .isInstanceOf(InvalidRequestException.class)
                .hasMessageContaining("patienceMs");
    }

    @Test
    void validationErrorNamesTheInvalidField() {
        assertThatThrownBy(() -> submit("o", spec("t", "odd")))
                .hasMessageContaining("taskClass odd");
        assertThatThrownBy(() -> submit("o", spec("", "safe"))).hasMessageContaining("id");
        assertThatThrownBy(
                        () ->
                                submit(
                                        "o",
                                        new TaskSpec("t", "safe", "s", "", Double.NaN, 1, null, 0)))
                .hasMessageContaining("cores");
        assertThatThrownBy(() -> submit("o", new TaskSpec("t", "keyed", "s", "", 1, 1, null, 0)))
                .hasMessageContaining("needs a key");
        assertThat(requests.taskCount()).isZero();
    }

    @Test
    void rejectsWithRetryAfterWhenTooManyRequestsArePending() throws InvalidRequestException {
        for (int i = 0; i < 3; i++) {
            submit("o", spec("t" + i, "safe"));
        }
        ResultNotification rejection = onlyNotification(submit("o", spec("more", "safe")));
        assertThat(rejection.result()).isEqualTo(RequestResult.REJECTED);
        assertThat(rejection.retryAfterMicros()).isPositive();
        requests.stop(now, "o", "t0", actions::add);
        assertThat(dispatchedId(submit("o", spec("more", "safe")))).isNotNull();
    }

    @Test
    void stopFailsPendingRequestAndCancelsPlacedTask() throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "safe")));
        actions.clear();
        requests.stop(now, "o", "t", actions::add);
        assertThat(actions.get(0)).isEqualTo(new Abandon(requestId, TerminationCause.STOPPED));
        assertThat(onlyNotification(actions).result()).isEqualTo(RequestResult.FAILED);
        String secondId = dispatchedId(submit("o", spec("u", "safe")));
        requests.placed(now, secondId, "n", actions::add);
        actions.clear();
        requests.stop(now, "o", "u", actions::add);
        assertThat(actions).containsExactly(new Abandon(secondId, TerminationCause.STOPPED));
        assertThat(
                        onlyNotification(
                                        actionsOf(
                                                () ->
                                                        requests.finished(
                                                                now,
                                                                secondId,
                                                                "n",
                                                                TerminationCause.STOPPED,
                                                                actions::add)))
                                .terminationCause())
                .isEqualTo(TerminationCause.STOPPED);
    }

    @Test
    void lostTaskMayBeResubmittedUnlessNonIdempotent() throws InvalidRequestException {
        for (String taskClass : List.of("safe", "unsafe")) {
            String requestId = dispatchedId(submit("o", spec(taskClass, taskClass)));
            requests.placed(now, requestId, "n", actions::add);
            requests.finished(now, requestId, "n", TerminationCause.LOST, actions::add);
            List<Action> taken = submit("o", spec(taskClass, taskClass));
            assertThat(dispatchedId(taken) != null)
                    .as(taskClass)
                    .isEqualTo(taskClass.equals("safe"));
        }
        assertThat(notifications(actions))
                .extracting(ResultNotification::repeated)
                .containsExactly(true, true); // placed, and then lost
    }

    @Test
    void retainedResultsAreBoundedAndDroppedTaskIsNotStartedAgain() throws InvalidRequestException {
        for (int i = 0; i < 8; i++) {
            String requestId = dispatchedId(submit("o", spec("t" + i, "unsafe")));
            requests.placed(now, requestId, "n", actions::add);
            requests.finished(now, requestId, "n", TerminationCause.COMPLETED, actions::add);
            now += MS;
        }
        requests.tick(now, actions::add);
        assertThat(requests.taskCount()).isEqualTo(5);
        List<Action> taken = submit("o", spec("t0", "unsafe"));
        assertThat(dispatchedId(taken)).isNull();
        assertThat(onlyNotification(taken).result()).isEqualTo(RequestResult.FAILED);
        assertThat(onlyNotification(taken).reason()).contains("no longer kept");
        now += 61 * SECOND;
        requests.tick(now, actions::add);
        assertThat(requests.taskCount()).isZero();
        assertThat(dispatchedId(submit("o", spec("t0", "unsafe"))))
                .isNotNull(); // its time is over: a new task
    }

    @Test
    void nonIdempotentRequestsSettleAfterStartAndRunningTaskIsTheirResult()
            throws InvalidRequestException {
        requests = newTracker();
        assertThat(dispatchedId(submit("o", spec("t", "unsafe")))).isNull();
        assertThat(dispatchedId(submit("o", spec("u", "unsafe")))).isNull();
        assertThat(dispatchedId(submit("o", spec("v", "safe")))).isNotNull();
        actions.clear();
        assertThat(requests.adopt(now, "o", "", spec("t", "unsafe"), "n", actions::add))
                .isNotNull();
        assertThat(onlyNotification(actions).result()).isEqualTo(RequestResult.PLACED);
        actions.clear();
        now += SECOND;
        requests.tick(now, actions::add); // a gap of a second: the settling is prolonged by it
        for (int i = 0; i < 30; i++) {
            assertThat(actions).as("after %d ms", 1_000 + i * 100).isEmpty();
            now += TICK_MICROS;
            requests.tick(now, actions::add);
        }
        assertThat(actions).hasSize(1);
        assertThat(((Dispatch) actions.get(0)).request().task()).contains("u");
        assertThat(requests.pendingCount()).isEqualTo(2);
    }

    @Test
    void doesNotAdoptSecondCopyOfPlacedTask() throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "keyed")));
        requests.placed(now, requestId, "n", actions::add);
        assertThat(requests.adopt(now, "o", "", spec("t", "keyed"), "m", actions::add)).isNull();
    }

    @Test
    void adoptedTaskCompletesPendingRequest() throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "safe")));
        actions.clear();
        Placement.PlacementRequest adopted =
                requests.adopt(now, "o", "", spec("t", "safe"), "m", actions::add);
        assertThat(actions.get(0)).isEqualTo(new Abandon(requestId, TerminationCause.STOPPED));
        assertThat(onlyNotification(actions).machine()).isEqualTo("m");
        assertThat(requests.pendingCount()).isZero();
        assertThat(actionsOf(() -> requests.rejected(now, requestId, 0, "", actions::add)))
                .isEmpty();
        assertThat(
                        onlyNotification(
                                        actionsOf(
                                                () ->
                                                        requests.finished(
                                                                now,
                                                                adopted.id(),
                                                                "m",
                                                                TerminationCause.COMPLETED,
                                                                actions::add)))
                                .terminationCause())
                .isEqualTo(TerminationCause.COMPLETED);
    }

    @Test
    void rejectionReasonNamesTheMachineThatRejectedLast() throws InvalidRequestException {
        String requestId = dispatchedId(submit("o", spec("t", "safe")));
        requests.offerRejected(requestId, "n", Placement.OutcomeReason.INSUFFICIENT_MEMORY);
        assertThat(
                        onlyNotification(
                                        actionsOf(
                                                () ->
                                                        requests.rejected(
                                                                now,
                                                                requestId,
                                                                0,
                                                                "",
                                                                actions::add)))
                                .reason())
                .isEqualTo("node n refused last: not enough memory");
    }
}

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

/**
 * Guards against a request that gets no result or more than one, a task that starts twice because
 * its request was repeated, and results or notifications that accumulate without bound.
 */
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
    private RequestTracker tracker = settledTracker();

    private RequestTracker newTracker() {
        return new RequestTracker(LIMITS, new PolicyFixtures().classes, SEED, now);
    }

    /** Returns a tracker whose settling time after the start is over. */
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
        tracker.submit(now, owner, "", spec, actions::add);
        return List.copyOf(actions);
    }

    private List<Action> actionsOf(Runnable call) {
        actions.clear();
        call.run();
        return List.copyOf(actions);
    }

    private static String dispatchedRequestId(List<Action> emittedActions) {
        return emittedActions.stream()
                .filter(Dispatch.class::isInstance)
                .map(action -> ((Dispatch) action).request().id())
                .findFirst()
                .orElse(null);
    }

    private static Dispatch dispatchIn(List<Action> emittedActions) {
        return emittedActions.stream()
                .filter(Dispatch.class::isInstance)
                .map(Dispatch.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static List<ResultNotification> notifications(List<Action> emittedActions) {
        return emittedActions.stream()
                .filter(Notify.class::isInstance)
                .map(action -> ((Notify) action).notification())
                .toList();
    }

    private static ResultNotification onlyNotification(List<Action> emittedActions) {
        assertThat(notifications(emittedActions)).hasSize(1);
        return notifications(emittedActions).get(0);
    }

    @Test
    void repeatedRequestHasNoEffectWhilePending() throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        assertThat(submit("o", spec("t", "safe"))).isEmpty();
        ResultNotification notification =
                onlyNotification(
                        actionsOf(() -> tracker.placed(now, requestId, "n", actions::add)));
        assertThat(notification.result()).isEqualTo(RequestResult.PLACED);
        assertThat(notification.machine()).isEqualTo("n");
    }

    @Test
    void repeatedRequestAfterPlacementGetsRetainedResult() throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "unsafe")));
        tracker.placed(now, requestId, "n", actions::add);
        List<Action> emittedActions = submit("o", spec("t", "unsafe"));
        assertThat(dispatchedRequestId(emittedActions)).isNull();
        assertThat(onlyNotification(emittedActions).repeated()).isTrue();
        assertThat(onlyNotification(emittedActions).result()).isEqualTo(RequestResult.PLACED);
    }

    @Test
    void retryAfterRejectionIsDispatchedAgainWithGrowingBackoff() throws InvalidRequestException {
        long previousRetryAfterMicros = 0;
        for (int i = 0; i < 4; i++) {
            String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
            assertThat(requestId).isNotNull();
            ResultNotification rejection =
                    onlyNotification(
                            actionsOf(() -> tracker.rejected(now, requestId, 0, "", actions::add)));
            long backoffMicros = Math.min(8 * SECOND, SECOND << i);
            assertThat(rejection.retryAfterMicros())
                    .isBetween(backoffMicros / 2, backoffMicros)
                    .isGreaterThan(previousRetryAfterMicros / 2);
            previousRetryAfterMicros = rejection.retryAfterMicros();
        }
    }

    @Test
    void requestForDifferentTaskUnderSameIdIsInvalid() throws InvalidRequestException {
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
        String firstRequestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        String otherRequestId = dispatchedRequestId(submit("p", spec("t", "safe")));
        assertThat(firstRequestId).isNotNull().isNotEqualTo(otherRequestId);
        assertThat(
                        onlyNotification(
                                        actionsOf(
                                                () ->
                                                        tracker.placed(
                                                                now,
                                                                otherRequestId,
                                                                "n",
                                                                actions::add)))
                                .owner())
                .isEqualTo("p");
        assertThatThrownBy(() -> tracker.stop(now, "q", "t", actions::add))
                .isInstanceOf(InvalidRequestException.class);
    }

    @Test
    void undeliveredNotificationIsRetainedForItsOwner() throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        ResultNotification notification =
                onlyNotification(
                        actionsOf(() -> tracker.placed(now, requestId, "n", actions::add)));
        assertThat(tracker.undelivered("o")).containsExactly(notification);
        tracker.delivered("o", notification.sequence());
        assertThat(tracker.undelivered("o")).isEmpty();
    }

    @Test
    void resubmissionDiscardsUndeliveredNotificationsOfFormerRequest()
            throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        // the connection of the owner broke, so that this is not delivered
        tracker.rejected(now, requestId, 0, "", actions::add);
        String secondRequestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        assertThat(tracker.undelivered("o")).isEmpty();
        tracker.placed(now, secondRequestId, "n", actions::add);
        tracker.finished(now, secondRequestId, "n", TerminationCause.LOST, actions::add);
        assertThat(tracker.undelivered("o")).hasSize(2);
        assertThat(dispatchedRequestId(submit("o", spec("t", "safe")))).isNotNull();
        assertThat(tracker.undelivered("o")).isEmpty();
    }

    @Test
    void undeliveredNotificationsExpireWithTheResult() throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        tracker.placed(now, requestId, "n", actions::add);
        tracker.finished(now, requestId, "n", TerminationCause.COMPLETED, actions::add);
        for (int i = 0; i < 5; i++) {
            submit("o", spec("t", "safe")); // replaces the former notifications
        }
        assertThat(tracker.undelivered("o")).hasSize(2).allMatch(ResultNotification::repeated);
        now += 61 * SECOND;
        tracker.tick(now, actions::add);
        assertThat(tracker.undelivered("o")).isEmpty();
    }

    @Test
    void requestThatThePolicyDoesNotCompleteInTimeFailsAndIsAbandoned()
            throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        now += 8 * SECOND + 2 * MS; // the deadline of the class and DEADLINE_GRACE_MICROS
        List<Action> emittedActions = actionsOf(() -> tracker.tick(now, actions::add));
        assertThat(emittedActions.get(0))
                .isEqualTo(new Abandon(requestId, TerminationCause.STOPPED));
        assertThat(onlyNotification(emittedActions).result()).isEqualTo(RequestResult.FAILED);
        assertThat(actionsOf(() -> tracker.placed(now, requestId, "n", actions::add)))
                .isEmpty(); // too late: the request already has its result
        assertThat(tracker.pendingCount()).isZero();
    }

    @Test
    void requestedWaitIsLimitedAndDefaultsToTheDeadlineOfTheClass() throws InvalidRequestException {
        Dispatch withoutWait =
                dispatchIn(submit("o", new TaskSpec("a", "safe", "s", "", 1, 1, 0L, 0)));
        assertThat(withoutWait.request().maxWaitMicros()).isZero();
        Dispatch withExcessiveWait =
                dispatchIn(
                        submit(
                                "o",
                                new TaskSpec("b", "safe", "s", "", 1, 1, Long.MAX_VALUE / 2, 0)));
        assertThat(withExcessiveWait.request().maxWaitMicros()).isEqualTo(20 * SECOND);
        Dispatch withDefaultWait = dispatchIn(submit("o", spec("c", "safe")));
        assertThat(withDefaultWait.request().maxWaitMicros()).isEqualTo(8 * SECOND);
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
        assertThat(tracker.taskCount()).isZero();
    }

    @Test
    void requestIsRejectedWithRetryAfterWhileTooManyArePending() throws InvalidRequestException {
        for (int i = 0; i < 3; i++) {
            submit("o", spec("t" + i, "safe"));
        }
        ResultNotification rejection = onlyNotification(submit("o", spec("more", "safe")));
        assertThat(rejection.result()).isEqualTo(RequestResult.REJECTED);
        assertThat(rejection.retryAfterMicros()).isPositive();
        tracker.stop(now, "o", "t0", actions::add);
        assertThat(dispatchedRequestId(submit("o", spec("more", "safe")))).isNotNull();
    }

    @Test
    void stopFailsPendingRequestAndCancelsPlacedTask() throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        actions.clear();
        tracker.stop(now, "o", "t", actions::add);
        assertThat(actions.get(0)).isEqualTo(new Abandon(requestId, TerminationCause.STOPPED));
        assertThat(onlyNotification(actions).result()).isEqualTo(RequestResult.FAILED);
        String secondRequestId = dispatchedRequestId(submit("o", spec("u", "safe")));
        tracker.placed(now, secondRequestId, "n", actions::add);
        actions.clear();
        tracker.stop(now, "o", "u", actions::add);
        assertThat(actions).containsExactly(new Abandon(secondRequestId, TerminationCause.STOPPED));
        assertThat(
                        onlyNotification(
                                        actionsOf(
                                                () ->
                                                        tracker.finished(
                                                                now,
                                                                secondRequestId,
                                                                "n",
                                                                TerminationCause.STOPPED,
                                                                actions::add)))
                                .terminationCause())
                .isEqualTo(TerminationCause.STOPPED);
    }

    @Test
    void lostTaskMayBeResubmittedUnlessNonIdempotent() throws InvalidRequestException {
        for (String taskClass : List.of("safe", "unsafe")) {
            String requestId = dispatchedRequestId(submit("o", spec(taskClass, taskClass)));
            tracker.placed(now, requestId, "n", actions::add);
            tracker.finished(now, requestId, "n", TerminationCause.LOST, actions::add);
            List<Action> emittedActions = submit("o", spec(taskClass, taskClass));
            assertThat(dispatchedRequestId(emittedActions) != null)
                    .as(taskClass)
                    .isEqualTo(taskClass.equals("safe"));
        }
        assertThat(notifications(actions))
                .extracting(ResultNotification::repeated)
                .containsExactly(true, true); // the result PLACED and the termination LOST
    }

    @Test
    void retainedResultsAreBoundedAndDroppedTaskIsNotStartedAgain() throws InvalidRequestException {
        for (int i = 0; i < 8; i++) {
            String requestId = dispatchedRequestId(submit("o", spec("t" + i, "unsafe")));
            tracker.placed(now, requestId, "n", actions::add);
            tracker.finished(now, requestId, "n", TerminationCause.COMPLETED, actions::add);
            now += MS;
        }
        tracker.tick(now, actions::add);
        assertThat(tracker.taskCount()).isEqualTo(5);
        List<Action> emittedActions = submit("o", spec("t0", "unsafe"));
        assertThat(dispatchedRequestId(emittedActions)).isNull();
        assertThat(onlyNotification(emittedActions).result()).isEqualTo(RequestResult.FAILED);
        assertThat(onlyNotification(emittedActions).reason()).contains("no longer kept");
        now += 61 * SECOND;
        tracker.tick(now, actions::add);
        assertThat(tracker.taskCount()).isZero();
        assertThat(dispatchedRequestId(submit("o", spec("t0", "unsafe"))))
                .isNotNull(); // the retention time is over, so this is a new task
    }

    @Test
    void afterStartNonIdempotentRequestsWaitForAdoptionOrTheEndOfSettling()
            throws InvalidRequestException {
        tracker = newTracker();
        assertThat(dispatchedRequestId(submit("o", spec("t", "unsafe")))).isNull();
        assertThat(dispatchedRequestId(submit("o", spec("u", "unsafe")))).isNull();
        assertThat(dispatchedRequestId(submit("o", spec("v", "safe")))).isNotNull();
        actions.clear();
        assertThat(tracker.adopt(now, "o", "", spec("t", "unsafe"), "n", actions::add)).isNotNull();
        assertThat(onlyNotification(actions).result()).isEqualTo(RequestResult.PLACED);
        actions.clear();
        now += SECOND;
        tracker.tick(now, actions::add); // a gap of a second prolongs the settling time by a second
        for (int i = 0; i < 30; i++) {
            assertThat(actions).as("after %d ms", 1_000 + i * 100).isEmpty();
            now += TICK_MICROS;
            tracker.tick(now, actions::add);
        }
        assertThat(actions).hasSize(1);
        assertThat(((Dispatch) actions.get(0)).request().task()).contains("u");
        assertThat(tracker.pendingCount()).isEqualTo(2);
    }

    @Test
    void secondCopyOfPlacedTaskIsNotAdopted() throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "keyed")));
        tracker.placed(now, requestId, "n", actions::add);
        assertThat(tracker.adopt(now, "o", "", spec("t", "keyed"), "m", actions::add)).isNull();
    }

    @Test
    void adoptedTaskCompletesPendingRequest() throws InvalidRequestException {
        String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        actions.clear();
        Placement.PlacementRequest adopted =
                tracker.adopt(now, "o", "", spec("t", "safe"), "m", actions::add);
        assertThat(actions.get(0)).isEqualTo(new Abandon(requestId, TerminationCause.STOPPED));
        assertThat(onlyNotification(actions).machine()).isEqualTo("m");
        assertThat(tracker.pendingCount()).isZero();
        assertThat(actionsOf(() -> tracker.rejected(now, requestId, 0, "", actions::add)))
                .isEmpty();
        assertThat(
                        onlyNotification(
                                        actionsOf(
                                                () ->
                                                        tracker.finished(
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
        String requestId = dispatchedRequestId(submit("o", spec("t", "safe")));
        tracker.offerRejected(requestId, "n", Placement.OutcomeReason.INSUFFICIENT_MEMORY);
        assertThat(
                        onlyNotification(
                                        actionsOf(
                                                () ->
                                                        tracker.rejected(
                                                                now,
                                                                requestId,
                                                                0,
                                                                "",
                                                                actions::add)))
                                .reason())
                .isEqualTo("node n refused last: not enough memory");
    }
}

package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.decisions.admission.AdmissionQueueFixture.MILLISECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.SECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.settings;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.admission.AdmissionQueue.Stage;

class LoadShedderTest {
    private static final int OLDEST_EVERY = 8;

    private final AdmissionQueueFixture fixture = new AdmissionQueueFixture();

    @Test
    void rejectsWaitingRequestBeforeItsDeadline() {
        fixture.start(settings(1, OLDEST_EVERY, 0));
        String blocker =
                fixture.request("o", "t", 60 * SECOND).priorityWeight(5).cores(60).arrive();
        fixture.startAttempt(blocker);
        fixture.endAttempt(blocker); // a request that was offered is not recalled
        String waitingRequest = fixture.request("o", "t", SECOND).cores(60).arrive();
        fixture.pass(960 * MILLISECOND);
        assertThat(fixture.rejected()).containsKey(waitingRequest);
        assertThat(fixture.queue().waitingCount()).isZero();
    }

    @Test
    void rejectsLastByPriorityWhenQueueIsFull() {
        fixture.start(
                AdmissionQueueFixture.withMaxQueuedAndNoLargeTasks(
                        settings(1, OLDEST_EVERY, 0), 2));
        fixture.arrive("o", "t", 60 * SECOND);
        String lowest = fixture.arrive("o", "t", 60 * SECOND);
        String higher = fixture.request("o", "t", 60 * SECOND).priorityWeight(5).arrive();
        String highest = fixture.request("o", "t", 60 * SECOND).priorityWeight(6).arrive();
        assertThat(fixture.rejected()).containsOnlyKeys(lowest);
        assertThat(fixture.status(higher).stage()).isEqualTo(Stage.QUEUED);
        assertThat(fixture.status(highest).stage()).isEqualTo(Stage.QUEUED);
    }

    /**
     * Submits 100 requests per second, each with a maximum wait of 4 s, of which 20 per second are
     * placed; then submits no more.
     */
    @Test
    void rejectsEarlyUnderOverloadAndRecovers() {
        fixture.start(settings(4, OLDEST_EVERY, 0));
        long rejectedOnArrival = 0;
        for (int i = 0; i < 1_000; i++) {
            String request = fixture.arrive("o" + i % 5, "t", 4 * SECOND);
            fixture.advanceClock(10 * MILLISECOND);
            if (i % 5 == 0) {
                placeFirstDispatched();
            }
            if (i % 2 == 0) {
                fixture.tick();
            }
            rejectedOnArrival += fixture.rejected().containsKey(request) ? 1 : 0;
        }
        assertThat(fixture.queue().isOverloaded()).isTrue();
        assertThat(rejectedOnArrival)
                .as("requests rejected on arrival, of 1,000")
                .isGreaterThan(200);
        long rejectedAtDeadline =
                fixture.rejected().values().stream()
                        .filter(shed -> shed.reason().startsWith("no room came"))
                        .count();
        assertThat(rejectedAtDeadline)
                .as("requests rejected only at the deadline")
                .isLessThan(fixture.rejected().size() / 20);
        assertThat(fixture.queue().waitingCount())
                .as("waiting requests, few enough to be placed in time")
                .isLessThan(120);
        fixture.pass(5 * SECOND);
        assertThat(fixture.queue().isOverloaded()).isFalse();
    }

    private void placeFirstDispatched() {
        fixture.dispatched().stream()
                .filter(request -> fixture.status(request).stage() == Stage.DISPATCHED)
                .findFirst()
                .ifPresent(fixture::place);
    }

    @Test
    void spreadsRetriesOfRequestsRejectedTogether() {
        fixture.start(settings(1, OLDEST_EVERY, 0));
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            delays.add(fixture.queue().takeRetryAfterMicros(fixture.nowMicros()));
        }
        delays.sort(null);
        assertThat(delays.get(499)).isLessThanOrEqualTo(30 * SECOND);
        for (int i = 0; i + 60 < 500; i++) {
            assertThat(delays.get(i + 60) - delays.get(i))
                    .as("time over which 60 of 500 clients retry")
                    .isGreaterThan(300 * MILLISECOND);
        }
    }
}

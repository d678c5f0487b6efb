package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.decisions.admission.AdmissionQueueFixture.MACHINE;
import static thornferry.decisions.admission.AdmissionQueueFixture.MILLISECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.SECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.settings;

import org.junit.jupiter.api.Test;

class DispatcherTest {
    private static final int OLDEST_EVERY = 8;
    private static final long MAX_WAIT_MICROS = 60 * SECOND;

    private final AdmissionQueueFixture fixture = new AdmissionQueueFixture();

    @Test
    void recallsRequestsWithoutCapacityAndDispatchesThemWhenCapacityAppears() {
        fixture.start(settings(2, OLDEST_EVERY, 0));
        String large =
                fixture.request("o", "t", MAX_WAIT_MICROS).priorityWeight(5).cores(60).arrive();
        String alsoLarge =
                fixture.request("o", "t", MAX_WAIT_MICROS).priorityWeight(5).cores(60).arrive();
        String small = fixture.arrive("o", "t", MAX_WAIT_MICROS);
        assertThat(fixture.dispatched()).containsExactly(large, alsoLarge);
        fixture.cluster().recordLoadReport(MACHINE, 50, 50);
        fixture.pass(300 * MILLISECOND);
        assertThat(fixture.recalled()).contains(large, alsoLarge);
        assertThat(fixture.dispatched()).contains(small);
        fixture.place(small);
        fixture.dispatched().clear();
        fixture.cluster().recordLoadReport(MACHINE, 80, 80);
        fixture.pass(20 * MILLISECOND);
        assertThat(fixture.dispatched()).contains(large, alsoLarge);
    }

    @Test
    void dispatchesOthersWithoutDelayDespiteRequestsWithoutCapacity() {
        fixture.start(settings(8, OLDEST_EVERY, 0));
        fixture.cluster().recordLoadReport(MACHINE, 50, 50);
        for (int i = 0; i < 500; i++) {
            fixture.request("o", "t", 600 * SECOND).cores(90).arrive();
        }
        fixture.pass(10 * SECOND);
        for (int i = 0; i < 200; i++) {
            String request = fixture.arrive("p", "t", 4 * SECOND);
            long arrivedAtMicros = fixture.nowMicros();
            while (!fixture.dispatched().contains(request)) {
                fixture.pass(20 * MILLISECOND);
            }
            assertThat(fixture.nowMicros() - arrivedAtMicros)
                    .as("wait behind requests without capacity")
                    .isLessThanOrEqualTo(250 * MILLISECOND);
            fixture.place(request);
            fixture.finish(request);
            fixture.pass(20 * MILLISECOND);
        }
        assertThat(fixture.rejected()).isEmpty();
    }

    @Test
    void doesNotRecallRequestThatWasOffered() {
        fixture.start(settings(1, OLDEST_EVERY, 0));
        String offered =
                fixture.request("o", "t", MAX_WAIT_MICROS).priorityWeight(5).cores(60).arrive();
        fixture.arrive("o", "t", MAX_WAIT_MICROS);
        fixture.startAttempt(offered);
        fixture.endAttempt(offered);
        fixture.pass(2 * SECOND);
        assertThat(fixture.recalled())
                .as("a request whose attempt may have run must stay with the policy")
                .doesNotContain(offered);
    }

    @Test
    void reservesCapacityForLargeTaskForBoundedTime() {
        fixture.start(settings(4, 1_000, SECOND));
        String large =
                fixture.request("o", "t", MAX_WAIT_MICROS).priorityWeight(2).cores(60).arrive();
        fixture.pass(1_100 * MILLISECOND);
        String small = fixture.arrive("o", "t", MAX_WAIT_MICROS);
        String highWeight = fixture.request("o", "t", MAX_WAIT_MICROS).priorityWeight(3).arrive();
        assertThat(fixture.dispatched()).contains(large, highWeight).doesNotContain(small);
        assertThat(fixture.status(small).heldBackByReservation()).isTrue();
        fixture.pass(1_100 * MILLISECOND);
        assertThat(fixture.dispatched()).contains(small);
        String afterReservation = fixture.arrive("o", "t", MAX_WAIT_MICROS);
        assertThat(fixture.dispatched())
                .as("no reservation may follow another at once")
                .contains(afterReservation);
    }
}

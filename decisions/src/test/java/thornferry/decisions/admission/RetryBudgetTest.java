package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.decisions.admission.AdmissionQueueFixture.SECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.settings;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final long MAX_WAIT_MICROS = 60 * SECOND;

    private final AdmissionQueueFixture fixture = new AdmissionQueueFixture();

    private String retry(String owner, String rejectedBy) {
        return fixture.request(owner, "t", MAX_WAIT_MICROS)
                .retry(true)
                .rejectedBy(rejectedBy)
                .arrive();
    }

    @Test
    void delaysRetriesBeyondOwnersBudgetButNotNewRequests() {
        fixture.start(settings(1_000, 8, 0));
        int dispatchedRetries = 0;
        for (int i = 0; i < 100; i++) {
            dispatchedRetries += fixture.dispatched().contains(retry("o", "")) ? 1 : 0;
        }
        assertThat(dispatchedRetries)
                .as("retries allowed without new requests")
                .isLessThanOrEqualTo(5);
        assertThat(fixture.dispatched()).contains(fixture.arrive("o", "t", MAX_WAIT_MICROS));
        assertThat(fixture.dispatched()).contains(retry("p", ""));
        String delayed = retry("o", "");
        assertThat(fixture.status(delayed).quotaBlock().quotaName()).isEqualTo("asks again");
        int dispatchedBefore = fixture.dispatched().size();
        fixture.pass(5 * SECOND);
        assertThat(fixture.dispatched().size() - dispatchedBefore)
                .as("retries in 5 s at 2 per second without new requests")
                .isBetween(8, 12);
    }

    @Test
    void delaysRetryAfterRejectionByMachineThatRejectsEverything() {
        fixture.start(settings(1_000, 8, 0));
        for (int i = 0; i < 20; i++) {
            String request = fixture.arrive("o" + i, "t", MAX_WAIT_MICROS);
            fixture.startAttempt(request, "rejecting", i > 0);
            fixture.finish(request);
        }
        String delayed = retry("q", "rejecting");
        assertThat(fixture.dispatched()).doesNotContain(delayed);
        assertThat(fixture.dispatched()).contains(retry("r", "healthy"));
    }
}

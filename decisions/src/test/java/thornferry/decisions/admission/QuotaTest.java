package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.decisions.admission.AdmissionQueueFixture.SECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.quota;
import static thornferry.decisions.admission.AdmissionQueueFixture.taskQuota;

import java.util.Set;
import org.junit.jupiter.api.Test;

class QuotaTest {
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;
    private static final long MAX_WAIT_MICROS = 60 * SECOND;

    private final AdmissionQueueFixture fixture = new AdmissionQueueFixture();

    private static AdmissionSettings withOwnerQuota(Quota ownerQuota) {
        return AdmissionSettings.defaults().withQuotas(ownerQuota, null, null, null);
    }

    @Test
    void blocksOnlyOwnerAtTaskQuotaUntilItsTaskEnds() {
        fixture.start(withOwnerQuota(taskQuota(1)));
        String first = fixture.arrive("o", "t", MAX_WAIT_MICROS);
        String second = fixture.arrive("o", "t", MAX_WAIT_MICROS);
        String otherOwner = fixture.arrive("p", "t", MAX_WAIT_MICROS);
        assertThat(fixture.dispatched()).containsExactly(first, otherOwner);
        assertThat(fixture.status(second).quotaBlock().quotaName()).isEqualTo("tasks");
        fixture.place(first);
        assertThat(fixture.dispatched()).as("a placed task counts against the quota").hasSize(2);
        fixture.finish(first);
        assertThat(fixture.dispatched()).contains(second);
    }

    @Test
    void limitsDispatchRateToQuota() {
        fixture.start(withOwnerQuota(quota(UNLIMITED, 2, UNLIMITED)));
        for (int i = 0; i < 10; i++) {
            fixture.arrive("o", "t", MAX_WAIT_MICROS);
        }
        assertThat(fixture.dispatched()).hasSize(1);
        fixture.pass(2 * SECOND);
        assertThat(fixture.dispatched()).hasSizeBetween(4, 6);
    }

    @Test
    void rejectsRequestLargerThanQuotaAndRequestOfShedClass() {
        fixture.start(
                AdmissionQueueFixture.withShedClasses(
                        withOwnerQuota(quota(1, UNLIMITED, 4)), Set.of("hasty")));
        String tooLarge = fixture.request("o", "t", SECOND).cores(5).arrive();
        assertThat(fixture.rejected().get(tooLarge).reason())
                .contains("more than your limit of 4 cores");
        fixture.place(fixture.arrive("o", "t", SECOND));
        String hasty = fixture.request("o", "t", SECOND).taskClass("hasty").arrive();
        assertThat(fixture.rejected().get(hasty).reason())
                .contains("your limit of 1 tasks is reached")
                .contains("do not wait");
    }

    @Test
    void reloadKeepsWaitingRequestsAndDispatchesUpToNewQuota() {
        fixture.start(withOwnerQuota(taskQuota(1)));
        for (int i = 0; i < 50; i++) {
            fixture.arrive("o", "t", MAX_WAIT_MICROS);
        }
        assertThat(fixture.queue().waitingCount()).isEqualTo(49);
        fixture.reload(withOwnerQuota(taskQuota(20)));
        assertThat(fixture.dispatched()).hasSize(20);
        fixture.reload(withOwnerQuota(taskQuota(5)));
        assertThat(fixture.queue().waitingCount()).isEqualTo(30);
        assertThat(fixture.rejected()).isEmpty();
    }
}

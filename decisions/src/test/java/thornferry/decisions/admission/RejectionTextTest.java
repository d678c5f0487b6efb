package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the exact text of the rejection sentences, because clients may match them. */
class RejectionTextTest {
    private static QuotaBlock block(QuotaScope scope, String quotaName, double limit) {
        return new QuotaBlock(scope, quotaName, limit, 0, QuotaBlock.NO_TIME_LIMIT_MICROS);
    }

    @Test
    void namesReachedQuotaOfEachScope() {
        assertThat(RejectionText.quotaReached(block(QuotaScope.OWNER, QuotaNames.TASKS, 3)))
                .isEqualTo("your limit of 3 tasks is reached");
        assertThat(RejectionText.quotaReached(block(QuotaScope.TENANT, QuotaNames.CORES, 2.5)))
                .isEqualTo("your tenant's limit of 2.50 cores is reached");
        assertThat(RejectionText.quotaReached(block(QuotaScope.SITE, QuotaNames.TASK_RATE, 10)))
                .isEqualTo("the site's limit of 10 tasks a second is reached");
        assertThat(RejectionText.quotaReached(block(QuotaScope.OWNER, QuotaNames.RETRIES, 0.5)))
                .isEqualTo("your limit of asks again is reached");
        assertThat(
                        RejectionText.classDoesNotWait(
                                block(QuotaScope.OWNER, QuotaNames.MEMORY, 4), "hasty"))
                .isEqualTo(
                        "your limit of 4 memory is reached, and tasks of class hasty do not wait"
                                + " for it");
    }

    @Test
    void namesExceededLimits() {
        Quota quota = new Quota(7, 1, 1, 1, 4, 8.25);
        assertThat(RejectionText.ownerQuotaTooSmall(quota))
                .isEqualTo("it asks for more than your limit of 4 cores and 8.25 memory");
        assertThat(RejectionText.TENANT_OR_SITE_QUOTA_TOO_SMALL)
                .isEqualTo("it asks for more than your tenant or the site may have at all");
        assertThat(RejectionText.tooManyWaitingOfOwner(quota))
                .isEqualTo("your limit of waiting tasks: 7");
        assertThat(RejectionText.tooManyWaitingOfTenant(quota))
                .isEqualTo("your tenant's limit of waiting tasks: 7");
        assertThat(RejectionText.queueFull(100_000))
                .isEqualTo("the line is full: 100000 tasks wait");
    }

    @Test
    void namesOverloadAndMissedDeadlines() {
        assertThat(RejectionText.NO_TIME_LEFT).isEqualTo("no time was left to place it");
        assertThat(RejectionText.NO_CAPACITY_IN_TIME)
                .isEqualTo("no room came before its patience ended");
        assertThat(RejectionText.LOWER_PRIORITY_SHED)
                .isEqualTo("the placer is overloaded: tasks of more worth come first");
        assertThat(RejectionText.WAIT_TOO_LONG)
                .isEqualTo("the placer is overloaded: its turn would not come in time");
        assertThat(RejectionText.estimatedWaitTooLong(4_260_000))
                .isEqualTo("the placer is overloaded: about 4.30 s would pass before its turn");
    }
}

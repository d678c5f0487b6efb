package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.decisions.admission.AdmissionQueueFixture.SECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FairShareTest {
    /**
     * Value of {@link AdmissionSettings#oldestEvery} so large that no turn goes to the oldest
     * request.
     */
    private static final int NO_TURN_OF_OLDEST = 1_000;

    private static final long HOUR = 3_600 * SECOND;

    private final AdmissionQueueFixture fixture = new AdmissionQueueFixture();

    @Test
    void ordersRequestsOfTenantByPriorityWeightThenDeadline() {
        fixture.start(settings(1, NO_TURN_OF_OLDEST, 0));
        String blocker = fixture.arrive("o", "t", 60 * SECOND);
        String lateDeadline = fixture.request("o", "t", 50 * SECOND).priorityWeight(5).arrive();
        String lowWeight = fixture.arrive("o", "t", 10 * SECOND);
        String earlyDeadline = fixture.request("o", "t", 40 * SECOND).priorityWeight(5).arrive();
        for (String request : List.of(blocker, earlyDeadline, lateDeadline)) {
            fixture.place(request);
        }
        assertThat(fixture.dispatched())
                .containsExactly(blocker, earlyDeadline, lateDeadline, lowWeight);
    }

    @Test
    void ordersNewRequestsBeforeRetriesOfEqualWeight() {
        fixture.start(settings(1, NO_TURN_OF_OLDEST, 0));
        String blocker = fixture.arrive("o", "t", 60 * SECOND);
        String retry = fixture.request("o", "t", 10 * SECOND).retry(true).arrive();
        String newRequest = fixture.arrive("o", "t", 50 * SECOND);
        fixture.place(blocker);
        fixture.place(newRequest);
        assertThat(fixture.dispatched()).containsExactly(blocker, newRequest, retry);
    }

    @Test
    void dividesDominantResourceByTenantWeights() {
        Map<String, Double> weights = Map.of("big", 3.0, "small", 1.0);
        fixture.start(settings(1, NO_TURN_OF_OLDEST, 0).withQuotas(null, null, null, weights));
        for (int i = 0; i < 80; i++) {
            fixture.arrive("b", "big", 600 * SECOND);
            fixture.arrive("s", "small", 600 * SECOND);
        }
        Set<String> placed = new HashSet<>();
        while (placed.size() < 80) {
            String next = fixture.lastDispatched();
            placed.add(next);
            fixture.place(next);
        }
        long placedOfBig = placed.stream().filter(request -> request.startsWith("b")).count();
        assertThat(placedOfBig)
                .as("placed requests of the tenant with weight 3, of 80 in total")
                .isBetween(58L, 62L);
    }

    @Test
    void dispatchesOldestRequestOfLowWeightTenantWithinBound() {
        int oldestEvery = 8;
        Map<String, Double> weights = Map.of("high", 1_000.0, "low", 0.001);
        fixture.start(settings(1, oldestEvery, 0));
        String last = fixture.request("o", "high", HOUR).priorityWeight(9).arrive();
        String oldest = fixture.request("p", "low", HOUR).priorityWeight(0.1).arrive();
        SplittableRandom random = new SplittableRandom(3);
        fixture.reload(settings(1, oldestEvery, 0).withQuotas(null, null, null, weights));
        // The low-weight tenant already uses half of the machine, so its share is never the lowest.
        fixture.queue()
                .recordAdoption(
                        fixture.nowMicros(),
                        new QueuedRequest("x", "p", "low", "c", 1, 50, 50, 0, 0, false, ""));
        int others = 0;
        while (!fixture.dispatched().contains(oldest)) {
            fixture.request("o", "high", HOUR).priorityWeight(1 + random.nextInt(9)).arrive();
            fixture.place(last);
            last = fixture.lastDispatched();
            others++;
            assertThat(others)
                    .as("requests dispatched before the oldest")
                    .isLessThanOrEqualTo(2 * oldestEvery);
        }
    }
}

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
    private static final int OLDEST_RARELY = 1_000;
    private static final long HOUR = 3_600 * SECOND;

    private final AdmissionQueueFixture fixture = new AdmissionQueueFixture();

    @Test
    void ordersTenantByPriorityWeightThenDeadline() {
        fixture.start(settings(1, OLDEST_RARELY, 0));
        String blocker = fixture.arrive("o", "t", 60 * SECOND);
        String late = fixture.request("o", "t", 50 * SECOND).priorityWeight(5).arrive();
        String lowWeight = fixture.arrive("o", "t", 10 * SECOND);
        String soon = fixture.request("o", "t", 40 * SECOND).priorityWeight(5).arrive();
        for (String request : List.of(blocker, soon, late)) {
            fixture.place(request);
        }
        assertThat(fixture.dispatched()).containsExactly(blocker, soon, late, lowWeight);
    }

    @Test
    void ordersNewRequestsBeforeRetriesOfEqualWeight() {
        fixture.start(settings(1, OLDEST_RARELY, 0));
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
        fixture.start(settings(1, OLDEST_RARELY, 0).withQuotas(null, null, null, weights));
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
        assertThat(placedOfBig).as("of 80, by weights 3 and 1").isBetween(58L, 62L);
    }

    @Test
    void dispatchesOldestWithinBoundWhateverElseArrives() {
        int oldestEvery = 8;
        Map<String, Double> weights = Map.of("rich", 1_000.0, "poor", 0.001);
        fixture.start(settings(1, oldestEvery, 0));
        String last = fixture.request("o", "rich", HOUR).priorityWeight(9).arrive();
        String oldest = fixture.request("p", "poor", HOUR).priorityWeight(0.1).arrive();
        SplittableRandom random = new SplittableRandom(3);
        fixture.reload(settings(1, oldestEvery, 0).withQuotas(null, null, null, weights));
        // the poor tenant uses a lot already, so that its share never brings it the turn
        fixture.queue()
                .adopted(
                        fixture.nowMicros(),
                        new QueuedRequest("x", "p", "poor", "c", 1, 50, 50, 0, 0, false, ""));
        int others = 0;
        while (!fixture.dispatched().contains(oldest)) {
            fixture.request("o", "rich", HOUR).priorityWeight(1 + random.nextInt(9)).arrive();
            fixture.place(last);
            last = fixture.lastDispatched();
            others++;
            assertThat(others)
                    .as("dispatched before the oldest")
                    .isLessThanOrEqualTo(2 * oldestEvery);
        }
    }
}

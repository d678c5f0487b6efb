package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.decisions.admission.AdmissionQueueFixture.MILLISECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.SECOND;
import static thornferry.decisions.admission.AdmissionQueueFixture.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import thornferry.decisions.admission.AdmissionQueue.Stage;

class AdmissionQueueTest {
    private static final int OWNERS = 4;
    private static final double OWNER_MAX_CORES = 40;

    private final AdmissionQueueFixture fixture = new AdmissionQueueFixture();

    @Test
    void dispatchesRequestOnArrivalWithoutQuotas() {
        fixture.start(AdmissionSettings.defaults());
        assertThat(fixture.dispatched()).isEmpty();
        String request = fixture.arrive("o", "t", SECOND);
        assertThat(fixture.dispatched()).containsExactly(request);
    }

    /**
     * Checks after each random event that the totals agree with a count of the live requests, and
     * that no request is rejected twice.
     */
    @Test
    void keepsTotalsConsistentUnderRandomEvents() {
        for (int seed = 0; seed < 30; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            fixture.dispatched().clear();
            fixture.rejected().clear();
            fixture.start(randomSettings(random));
            Map<String, Double> coresByLiveRequest = new HashMap<>();
            for (int i = 0; i < 600; i++) {
                fixture.advanceClock(random.nextInt(30) * MILLISECOND);
                applyRandomEvent(random, coresByLiveRequest);
                coresByLiveRequest.keySet().removeAll(fixture.rejected().keySet());
                assertTotalsMatch(coresByLiveRequest);
            }
            fixture.advanceClock(60 * SECOND);
            fixture.tick();
            fixture.advanceClock(20 * MILLISECOND);
            fixture.tick();
            assertThat(fixture.queue().waitingCount())
                    .as("requests waiting past their deadlines")
                    .isZero();
        }
    }

    private static AdmissionSettings randomSettings(SplittableRandom random) {
        int maxDispatched = 3 + random.nextInt(10);
        int oldestEvery = 2 + random.nextInt(8);
        long reserveForMicros = random.nextInt(2) * SECOND;
        Quota ownerQuota =
                new Quota(
                        20,
                        1 + random.nextInt(30),
                        5 + random.nextInt(100),
                        3,
                        OWNER_MAX_CORES,
                        400);
        return settings(maxDispatched, oldestEvery, reserveForMicros)
                .withQuotas(ownerQuota, null, null, null);
    }

    private void applyRandomEvent(SplittableRandom random, Map<String, Double> coresByLiveRequest) {
        String requestId =
                coresByLiveRequest.isEmpty()
                        ? ""
                        : List.copyOf(coresByLiveRequest.keySet())
                                .get(random.nextInt(coresByLiveRequest.size()));
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> submitRandomRequest(random, coresByLiveRequest);
            case 3 -> fixture.startAttempt(requestId);
            case 4 -> fixture.endAttempt(requestId);
            case 5 -> {
                if (fixture.status(requestId).stage() == Stage.OFFERED) {
                    fixture.markPlaced(requestId);
                }
            }
            case 6 -> {
                if (random.nextBoolean() && fixture.status(requestId).stage() != Stage.QUEUED) {
                    fixture.finish(requestId);
                    coresByLiveRequest.remove(requestId);
                }
            }
            default -> fixture.tick();
        }
    }

    private void submitRandomRequest(
            SplittableRandom random, Map<String, Double> coresByLiveRequest) {
        double cores = 1 + random.nextInt(6);
        String owner = "o" + random.nextInt(OWNERS);
        String tenant = "t" + random.nextInt(2);
        double priorityWeight = 1 + random.nextInt(3);
        long maxWaitMicros = (1 + random.nextInt(40)) * SECOND / 10;
        String request =
                fixture.request(owner, tenant, maxWaitMicros)
                        .priorityWeight(priorityWeight)
                        .cores(cores)
                        .retry(random.nextInt(5) == 0)
                        .arrive();
        coresByLiveRequest.put(request, cores);
    }

    private void assertTotalsMatch(Map<String, Double> coresByLiveRequest) {
        int waiting = 0;
        double activeCores = 0;
        for (Map.Entry<String, Double> live : coresByLiveRequest.entrySet()) {
            Stage stage = fixture.status(live.getKey()).stage();
            assertThat(stage).isNotEqualTo(Stage.UNKNOWN);
            if (stage == Stage.QUEUED || stage == Stage.BACKING_OFF) {
                waiting++;
            } else {
                activeCores += live.getValue();
            }
        }
        assertThat(fixture.queue().waitingCount()).isEqualTo(waiting);
        assertThat(fixture.queue().siteUsage().cores()).isEqualTo(activeCores);
        for (int owner = 0; owner < OWNERS; owner++) {
            assertThat(fixture.queue().ownerUsage("o" + owner).cores())
                    .isLessThanOrEqualTo(OWNER_MAX_CORES);
        }
    }
}

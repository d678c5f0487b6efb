package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MILLISECOND;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.cluster;
import static thornferry.decisions.placement.PolicyFixtures.readyMachine;
import static thornferry.decisions.placement.PolicyFixtures.request;
import static thornferry.decisions.placement.PolicyFixtures.requestOfService;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/** Tests when machines get health checks, and which offers wait for the results. */
class HealthCheckerTest {
    private final PolicyFixtures fixtures = new PolicyFixtures();

    @Test
    void limitsCostOfHealthChecksIfListShowsFreeCapacity() {
        fixtures.healthCheckCost = 0.004;
        int checksAtLowCost = healthChecksInThirtySeconds();
        fixtures.healthCheckCost = 0.08;
        int checksAtHighCost = healthChecksInThirtySeconds();
        fixtures.listShowsFreeCapacity = false;
        int checksWithoutCapacityInList = healthChecksInThirtySeconds();
        assertTrue(checksAtLowCost >= 100, checksAtLowCost + " checks at a low cost");
        assertTrue(
                checksAtHighCost <= checksAtLowCost / 10,
                checksAtHighCost + " checks at twenty times the cost");
        assertEquals(
                checksAtLowCost,
                checksWithoutCapacityInList,
                "the cost sets no limit if the list shows no capacity");
    }

    @Test
    void checksMachineThatSendsNoReports() {
        fixtures.loadReportMode = LoadReportMode.WITH_RESPONSES;
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 18));
        assertTrue(driver.advance(5 * SECOND).contains(new CheckHealth("m1")));
    }

    @Test
    void offerWaitsForChecksOfPreferredMachinesIfPlacersOutnumberMachines() {
        fixtures.instanceCount = 200;
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        fixtures.listShowsFreeCapacity = false;
        PolicyDriver driver = fixtures.driverWith(cluster(40, 15));
        List<Action> actions = driver.send(requestOfService("r1", "one"));
        assertEquals(3, actions.stream().filter(CheckHealth.class::isInstance).count());
        assertTrue(actions.stream().noneMatch(Offer.class::isInstance));
        Offer offer = null;
        for (Action action : actions.stream().filter(CheckHealth.class::isInstance).toList()) {
            offer =
                    driver.sendForOffer(
                            new HealthCheckCompleted(
                                    ((CheckHealth) action).machine(),
                                    true,
                                    MILLISECOND,
                                    LoadReport.ofFreeCapacity(15, 30)));
        }
        assertNotNull(offer, "the task is offered once all checks have completed");
        PolicyDriver driverWithoutResponses = fixtures.driverWith(cluster(40, 15));
        driverWithoutResponses.send(requestOfService("r1", "one"));
        assertTrue(
                driverWithoutResponses.advance(200 * MILLISECOND).stream()
                        .anyMatch(Offer.class::isInstance),
                "the task is offered even if no machine responds");
    }

    @Test
    void idlePlacerSetsFewTimersIfPlacersOutnumberMachines() {
        fixtures.instanceCount = 200;
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        PolicyDriver driver = fixtures.driverWith(cluster(40, 15));
        int timersBefore = driver.firedTimers;
        assertTrue(driver.advance(20 * SECOND).isEmpty(), "no health checks without a request");
        assertTrue(
                driver.firedTimers - timersBefore <= 220,
                driver.firedTimers - timersBefore + " timers in 20 s");
    }

    private int healthChecksInThirtySeconds() {
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        PolicyDriver driver =
                fixtures.driverWith(
                        readyMachine("m1", "a", 18),
                        readyMachine("m2", "a", 18),
                        readyMachine("m3", "a", 18));
        int checks = 0;
        for (int i = 0; i < 300; i++) {
            List<Action> actions = new ArrayList<>(driver.advance(100 * MILLISECOND));
            actions.addAll(driver.send(request("r" + i, "safe", 0.01)));
            for (Action action : actions) {
                if (action instanceof CheckHealth check) {
                    checks++;
                    driver.send(
                            new HealthCheckCompleted(
                                    check.machine(),
                                    true,
                                    MILLISECOND,
                                    LoadReport.ofFreeCapacity(18, 36)));
                }
            }
        }
        return checks;
    }
}

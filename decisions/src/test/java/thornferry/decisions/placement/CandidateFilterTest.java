package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MILLISECOND;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.attemptEnded;
import static thornferry.decisions.placement.PolicyFixtures.deltaList;
import static thornferry.decisions.placement.PolicyFixtures.fullList;
import static thornferry.decisions.placement.PolicyFixtures.machine;
import static thornferry.decisions.placement.PolicyFixtures.readyMachine;
import static thornferry.decisions.placement.PolicyFixtures.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.Pending;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/** Tests which machines are eligible for an offer, and the notification of why none is. */
@SuppressWarnings("EnumOrdinal") // machinesByReason is indexed by ordinal
class CandidateFilterTest {
    private final PolicyFixtures fixtures = new PolicyFixtures();

    @Test
    void subtractsOwnTasksUntilSampleIncludesThem() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 4));
        assertNotNull(driver.sendForOffer(request("r1", "safe", 3)));
        assertNull(
                driver.sendForOffer(request("r2", "safe", 3)),
                "no capacity next to the first task");
    }

    @Test
    void skipsDrainingAndAbsentMachines() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 18), readyMachine("m2", "a", 18));
        driver.send(deltaList(machine("m1", "a", MachineState.DRAINING, 18, 0)));
        driver.send(fullList(machine("m1", "a", MachineState.DRAINING, 18, 0)));
        assertNull(driver.sendForOffer(request("r1", "safe", 1)));
        driver.send(fullList(readyMachine("m1", "a", 18)));
        assertTrue(driver.advance(40 * MILLISECOND).stream().anyMatch(Offer.class::isInstance));
    }

    @Test
    void usesListAsSampleOnceLastReportIsOld() {
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        fixtures.healthCheckCost = 0.08;
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 18));
        driver.send(
                new HealthCheckCompleted(
                        "m1", true, MILLISECOND, LoadReport.ofFreeCapacity(18, 36)));
        driver.send(deltaList(readyMachine("m1", "a", 1)));
        assertNotNull(
                driver.sendForOffer(request("r1", "safe", 5)), "the report is newer than the list");
        driver.advance(3 * SECOND);
        driver.send(deltaList(readyMachine("m1", "a", 1)));
        assertNull(driver.sendForOffer(request("r2", "safe", 5)));
    }

    @Test
    void limitsOffersToMachineInSlowStartToOwnShare() {
        fixtures.instanceCount = 4;
        fixtures.slowStartOffers = 20; // the share of this placer is 5, of which it uses 4
        PolicyDriver driver = new PolicyDriver(fixtures);
        driver.send(fullList(machine("m1", "a", MachineState.READY, 18, driver.nowMicros)));
        int offers = 0;
        for (int i = 0; i < 10; i++) {
            offers += driver.sendForOffer(request("r" + i, "safe", 0.1)) == null ? 0 : 1;
        }
        assertEquals(4, offers);
    }

    @Test
    void countsAdoptedTasksTowardsSpreadLimit() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 18), readyMachine("m2", "a", 18));
        PlacementRequest running =
                new PlacementRequest("r0", "spread", null, "t0", SECOND, 0, "service", 1, 1, false);
        assertTrue(
                driver.send(new TaskAdopted(running, "m1")).isEmpty(),
                "an adopted task is not offered");
        assertNotNull(driver.sendForOffer(request("r1", "spread", 1)));
        assertNull(driver.sendForOffer(request("r2", "spread", 1)), "the zone may run two");
    }

    @Test
    void forgetsSamplesOfRestartedMachine() {
        fixtures.loadReportMode = LoadReportMode.WITH_RESPONSES;
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        driver.send(
                new AttemptEnded(
                        "r1",
                        0,
                        "m1",
                        AttemptOutcome.REJECTED,
                        MILLISECOND,
                        true,
                        OutcomeReason.INSUFFICIENT_CORES,
                        LoadReport.ofFreeCapacity(0, 0)));
        assertNotNull(first);
        driver.advance(3 * SECOND);
        assertNull(
                driver.sendForOffer(request("r2", "safe", 1)),
                "the machine is full according to its last report");
        driver.send(
                deltaList(machine("m1", "a", MachineState.READY, 20, driver.nowMicros - SECOND)));
        assertTrue(driver.advance(100 * MILLISECOND).stream().anyMatch(Offer.class::isInstance));
    }

    @Test
    void remembersCapacityRejectionUntilNextSample() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "safe", 2));
        driver.send(
                attemptEnded(first, 0, AttemptOutcome.REJECTED, OutcomeReason.INSUFFICIENT_CORES));
        assertNull(driver.sendForOffer(request("r2", "safe", 2)));
        assertNotNull(
                driver.sendForOffer(request("r3", "safe", 1)), "a smaller task may still fit");
    }

    @Test
    void usesListAsSampleUntilFirstReport() {
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 0.5));
        assertNull(
                driver.sendForOffer(request("r1", "safe", 3)),
                "the machine is nearly full according to the list");
        assertNotNull(
                driver.sendForOffer(
                        new HealthCheckCompleted(
                                "m1", true, MILLISECOND, LoadReport.ofFreeCapacity(15, 30))));
    }

    @Test
    void underestimatesRequestedCoresIfReportsMeasureUsage() {
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        fixtures.reportsMeasureUsage = true;
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", Double.NaN));
        // 14 cores are in use: 18.7 requested by the initial usage ratio, 16.2 after the reduction.
        driver.send(
                new HealthCheckCompleted(
                        "m1", true, MILLISECOND, LoadReport.ofFreeCapacity(6, 40)));
        assertNotNull(driver.sendForOffer(request("r1", "safe", 3)));
    }

    @Test
    void reservesCapacityForClassesOfHigherPriorityWeight() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 1));
        assertNull(driver.sendForOffer(request("r1", "cheap", 0.5)));
        assertNotNull(driver.sendForOffer(request("r2", "safe", 0.5)));
    }

    @Test
    void doesNotAssumeMachineWithoutSampleIsFull() {
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", Double.NaN));
        assertNotNull(driver.sendForOffer(request("r1", "safe", 1)));
    }

    @Test
    void notifiesPendingReasonsOncePerChange() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 4), readyMachine("m2", "a", 2));
        Pending first = lastPending(driver.send(request("r1", "safe", 6)));
        assertEquals(2, first.machinesByReason().get(FilterReason.INSUFFICIENT_CORES.ordinal()));
        assertEquals("m1", first.closestMachine());
        assertEquals(2, first.missingCores(), 0.01);
        assertTrue(
                driver.advance(200 * MILLISECOND).stream().noneMatch(Pending.class::isInstance),
                "nothing has changed");
        driver.send(deltaList(machine("m1", "a", MachineState.DRAINING, 4, 0)));
        Pending second = lastPending(driver.advance(200 * MILLISECOND));
        assertEquals(1, second.machinesByReason().get(FilterReason.INSUFFICIENT_CORES.ordinal()));
        assertEquals("m2", second.closestMachine());
    }

    @Test
    void distinguishesTooSmallMachineFromOneThatLacksCapacity() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 20));
        assertEquals(
                1,
                lastPending(driver.send(request("r1", "safe", 21)))
                        .machinesByReason()
                        .get(FilterReason.MACHINE_TOO_SMALL.ordinal()));
    }

    @Test
    void notifiesPendingReasonsAgainAfterFailedOffer() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 10));
        Offer offer = driver.sendForOffer(request("r1", "safe", 6));
        Pending pending =
                lastPending(
                        driver.send(
                                attemptEnded(
                                        offer,
                                        0,
                                        AttemptOutcome.REJECTED,
                                        OutcomeReason.INSUFFICIENT_CORES)));
        assertEquals(1, pending.machinesByReason().get(FilterReason.RECENTLY_REJECTED.ordinal()));
    }

    @Test
    void releasesCapacityOfTaskThatEndedAfterMachineReturned() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 4));
        Offer offer = driver.sendForOffer(request("r1", "safe", 3));
        driver.send(new AttemptAccepted("r1", 0, "m1", MILLISECOND));
        driver.send(deltaList(machine("m1", "a", MachineState.GONE, 1, 0)));
        driver.advance(10 * SECOND);
        driver.send(deltaList(readyMachine("m1", "a", 1)));
        driver.send(
                new AttemptEnded(
                        "r1",
                        0,
                        "m1",
                        AttemptOutcome.COMPLETED,
                        0,
                        true,
                        OutcomeReason.NONE,
                        null));
        assertEquals("m1", offer.machine());
        assertNotNull(
                driver.sendForOffer(request("r2", "safe", 3)),
                "the capacity of the ended task is free again");
    }

    private static Pending lastPending(List<Action> actions) {
        return actions.stream()
                .filter(Pending.class::isInstance)
                .map(Pending.class::cast)
                .reduce((previous, next) -> next)
                .orElseThrow();
    }
}

package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MILLISECOND;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.cluster;
import static thornferry.decisions.placement.PolicyFixtures.deltaList;
import static thornferry.decisions.placement.PolicyFixtures.readyMachine;
import static thornferry.decisions.placement.PolicyFixtures.request;
import static thornferry.decisions.placement.PolicyFixtures.requestOfService;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.PlacementRequested;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/** Tests which of the eligible machines gets the offer, and with which timeout. */
class MachineSelectionTest {
    private final PolicyFixtures fixtures = new PolicyFixtures();

    @Test
    void offersToMachineWithLowestScore() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 4), readyMachine("m2", "a", 18));
        assertEquals("m2", driver.sendForOffer(request("r1", "safe", 1)).machine());
    }

    @Test
    void prefersFullerMachineIfMachinesInUseHaveCost() {
        fixtures.machineInUseCost = 0.25;
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 12), readyMachine("m2", "a", 20));
        assertEquals("m1", driver.sendForOffer(request("r1", "safe", 1)).machine());
    }

    @Test
    void scoresMachineWithoutSampleByMeanOfOthers() {
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        PolicyDriver driver =
                fixtures.driverWith(
                        readyMachine("m1", "a", Double.NaN),
                        readyMachine("m2", "a", Double.NaN),
                        readyMachine("m3", "a", Double.NaN)); // a list without free capacity
        driver.send(
                new HealthCheckCompleted(
                        "m1", true, MILLISECOND, LoadReport.ofFreeCapacity(2, 40)));
        driver.send(
                new HealthCheckCompleted(
                        "m2", true, MILLISECOND, LoadReport.ofFreeCapacity(18, 40)));
        Set<String> chosenMachines = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            chosenMachines.add(
                    driver.sendForOffer(
                                    new PlacementRequested(
                                            new PlacementRequest(
                                                    "r" + i,
                                                    "safe",
                                                    null,
                                                    "t",
                                                    8 * SECOND,
                                                    0,
                                                    "s" + i,
                                                    5,
                                                    1,
                                                    false)))
                            .machine());
        }
        assertTrue(
                chosenMachines.contains("m2") && !chosenMachines.contains("m1"),
                "the emptier machines are chosen, the full one never");
    }

    @Test
    void prefersMachineThatRunsSameService() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 16), readyMachine("m2", "a", 16));
        String first = driver.sendForOffer(request("r1", "safe", 0.5)).machine();
        assertEquals(first, driver.sendForOffer(request("r2", "safe", 0.5)).machine());
    }

    @Test
    void timeoutIncludesStartIfMachineAcceptsOnlyRunningTask() {
        fixtures.acceptedWhenRunning = true;
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 18));
        assertTrue(
                driver.sendForOffer(request("r1", "safe", 1)).timeoutMicros()
                        >= 1500 * MILLISECOND);
    }

    @Test
    void placersWithDifferentSeedsAgreeOnPreferredMachine() {
        fixtures.instanceCount = 200;
        Set<String> chosenMachines = new HashSet<>();
        Set<String> machinesOfOtherServices = new HashSet<>();
        for (int placer = 0; placer < 20; placer++) {
            fixtures.seed = placer;
            PolicyDriver driver = fixtures.driverWith(cluster(40, 15));
            chosenMachines.add(driver.sendForOffer(requestOfService("r1", "one")).machine());
            machinesOfOtherServices.add(
                    driver.sendForOffer(requestOfService("r2", "s" + placer)).machine());
        }
        assertEquals(1, chosenMachines.size(), "preferred machines do not depend on the seed");
        assertTrue(machinesOfOtherServices.size() > 8, "services spread over the cluster");
    }

    @Test
    void usesNextPreferredMachineWhenFirstIsFull() {
        fixtures.instanceCount = 200;
        PolicyDriver driver = fixtures.driverWith(cluster(40, 15));
        String preferred = driver.sendForOffer(requestOfService("r1", "one")).machine();
        driver.advance(4 * SECOND);
        driver.send(deltaList(readyMachine(preferred, "a", 0)));
        fixtures.seed = 99;
        PolicyDriver otherDriver = fixtures.driverWith(cluster(40, 15));
        otherDriver.send(deltaList(readyMachine(preferred, "a", 0)));
        String next = driver.sendForOffer(requestOfService("r2", "one")).machine();
        assertNotEquals(preferred, next);
        assertEquals(next, otherDriver.sendForOffer(requestOfService("r3", "one")).machine());
    }

    @Test
    void placersUseFewMachinesForOneService() {
        fixtures.instanceCount = 16;
        MachineEntry[] machines = cluster(100, 18);
        Set<String> machinesUsed = new HashSet<>();
        for (fixtures.instanceIndex = 0; fixtures.instanceIndex < 16; fixtures.instanceIndex++) {
            fixtures.seed = 100L + fixtures.instanceIndex;
            PolicyDriver driver = fixtures.driverWith(machines);
            for (int i = 0; i < 3; i++) {
                machinesUsed.add(driver.sendForOffer(request("r" + i, "safe", 0.5)).machine());
            }
        }
        assertTrue(
                machinesUsed.size() <= 7,
                "48 tasks of one service on " + machinesUsed.size() + " machines");
    }
}

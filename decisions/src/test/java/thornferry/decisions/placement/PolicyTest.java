package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MILLISECOND;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.attemptEnded;
import static thornferry.decisions.placement.PolicyFixtures.deltaList;
import static thornferry.decisions.placement.PolicyFixtures.fullList;
import static thornferry.decisions.placement.PolicyFixtures.machine;
import static thornferry.decisions.placement.PolicyFixtures.readyMachine;
import static thornferry.decisions.placement.PolicyFixtures.request;
import static thornferry.decisions.placement.PolicyFixtures.requestOfOwnService;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.ClientDisconnected;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.ObservationKind;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.Subscribe;
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.Placement.TaskObserved;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/**
 * Tests the policy as a whole: determinism, list subscription, invalid input and retained state.
 */
class PolicyTest {
    private final PolicyFixtures fixtures = new PolicyFixtures();

    @Test
    void sameEventsLeadToSameActions() {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            PolicyDriver driver =
                    fixtures.driverWith(
                            readyMachine("m1", "a", 9),
                            readyMachine("m2", "b", 9),
                            readyMachine("m3", "a", 9),
                            readyMachine("m4", "b", 9));
            for (int i = 0; i < 40; i++) {
                driver.send(request("r" + i, i % 2 == 0 ? "safe" : "keyed", 0.5));
                driver.advance(30 * MILLISECOND);
            }
            runs.add(driver.allActions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    @Test
    void renewsLostSubscriptionWithBackoff() {
        fixtures.listNeedsSubscription = true;
        PolicyDriver driver = new PolicyDriver(fixtures);
        driver.send(
                new MachineListUpdated(
                        1, ListUpdateKind.CACHED, List.of(readyMachine("m1", "a", 18))));
        assertTrue(driver.allActions.contains(new Subscribe(true)));
        driver.send(new MachineListUpdated(1, ListUpdateKind.FAILED, List.of()));
        assertTrue(driver.advance(500 * MILLISECOND).contains(new Subscribe(true)));
        driver.send(new MachineListUpdated(1, ListUpdateKind.FAILED, List.of()));
        assertTrue(driver.advance(400 * MILLISECOND).isEmpty(), "the backoff has doubled");
        assertTrue(driver.advance(500 * MILLISECOND).contains(new Subscribe(true)));
    }

    @Test
    void exceptionNamesInvalidSetting() {
        fixtures.instanceCount = 0;
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> new Policy(fixtures.settings()))
                        .getMessage()
                        .contains("instances"));
        fixtures.instanceCount = 1;
        fixtures.classes.clear();
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> new Policy(fixtures.settings()))
                        .getMessage()
                        .contains("classes"));
    }

    @Test
    void neverOffersWithEmptyListUnknownSizeOrNonFiniteSample() {
        PolicyDriver driver = fixtures.driverWith();
        assertNull(driver.sendForOffer(request("r1", "safe", 1)));
        driver.send(
                fullList(
                        new MachineEntry(
                                "m1", "a", "unknown kind", 1, MachineState.READY, 5, 5, 1, 0)));
        assertNull(driver.sendForOffer(request("r2", "safe", 1)));
        driver.send(fullList(machine("m1", "a", MachineState.READY, Double.NaN, 0)));
        driver.send(
                new HealthCheckCompleted(
                        "m1",
                        true,
                        MILLISECOND,
                        LoadReport.ofFreeCapacity(Double.NaN, Double.NaN)));
        driver.send(new HealthCheckCompleted("never listed", true, MILLISECOND, null));
        driver.send(new TaskObserved("r9", 0, "m1", ObservationKind.CORES_USED, Double.NaN));
        driver.send(new AttemptAccepted("r9", 0, "m1", MILLISECOND));
        driver.send(new ClientDisconnected("r9"));
        driver.advance(SECOND);
    }

    @Test
    void offersOnlyToListedMachinesOfKnownSize() {
        fixtures.instanceCount = 500; // more than the slow-start budget
        fixtures.slowStartOffers = 3;
        fixtures.loadReportMode = LoadReportMode.ON_HEALTH_CHECK;
        PolicyDriver driver = new PolicyDriver(fixtures);
        MachineEntry[] listedMachines = new MachineEntry[400];
        for (int i = 0; i < listedMachines.length; i++) {
            listedMachines[i] =
                    machine(
                            "m" + i,
                            i % 2 == 0 ? "a" : "b",
                            MachineState.READY,
                            18,
                            i % 3 == 0 ? driver.nowMicros : 0);
        }
        driver.send(fullList(listedMachines));
        driver.send(
                deltaList(
                        new MachineEntry(
                                "unknown-size",
                                "a",
                                "unknown kind",
                                9,
                                MachineState.READY,
                                5,
                                5,
                                1,
                                0)));
        Offer offer = driver.sendForOffer(request("r1", "keyed", 1));
        assertNotNull(offer);
        assertNotEquals("unknown-size", offer.machine(), "the size of the machine is unknown");
        List<MachineEntry> remainingMachines = new ArrayList<>();
        for (MachineEntry entry : listedMachines) {
            if (entry.zone().equals("b") && !entry.machine().equals(offer.machine())) {
                remainingMachines.add(entry);
            }
        }
        // Zone a and the machine that has the offer are missing from this list.
        driver.send(new MachineListUpdated(9, ListUpdateKind.FULL, remainingMachines));
        driver.advance(SECOND);
        driver.send(attemptEnded(offer, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE));
        for (int i = 10; i < 60; i++) {
            Offer next = driver.sendForOffer(request("r" + i, "safe", 1));
            assertTrue(next == null || isListed(remainingMachines, next.machine()));
            if (next != null) {
                driver.send(attemptEnded(next, 0, AttemptOutcome.REJECTED, OutcomeReason.NONE));
            }
        }
        driver.advance(9 * SECOND);
    }

    private static boolean isListed(List<MachineEntry> entries, String machine) {
        return entries.stream().anyMatch(entry -> entry.machine().equals(machine));
    }

    @Test
    void retainsNoStateOfGoneMachinesAndEndedServices() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m0", "a", 18));
        for (int i = 0; i < 500; i++) {
            Offer offer = driver.sendForOffer(requestOfOwnService("r" + i, "safe"));
            driver.send(new AttemptAccepted("r" + i, 0, offer.machine(), MILLISECOND));
            driver.send(
                    deltaList(
                            machine("m" + i, "a", MachineState.DRAINING, 18, 0),
                            readyMachine("m" + (i + 1), "a", 18)));
            driver.send(
                    new AttemptEnded(
                            "r" + i,
                            0,
                            offer.machine(),
                            AttemptOutcome.COMPLETED,
                            0,
                            true,
                            OutcomeReason.NONE,
                            null));
            driver.send(deltaList(machine("m" + i, "a", MachineState.GONE, 18, 0)));
            // The machine of this adopted task is never listed.
            driver.send(
                    new TaskAdopted(
                            requestOfOwnService("h" + i, "safe").request(), "unlisted" + i));
            driver.send(
                    new AttemptEnded(
                            "h" + i,
                            0,
                            "unlisted" + i,
                            AttemptOutcome.LOST,
                            0,
                            true,
                            OutcomeReason.NONE,
                            null));
            driver.advance(100 * MILLISECOND);
        }
        for (int i = 0; i < 100; i++) { // full lists, each without the machines of the one before
            driver.send(
                    new MachineListUpdated(
                            1_000L + i,
                            ListUpdateKind.FULL,
                            List.of(readyMachine("w" + i, "a", 18))));
            driver.advance(100 * MILLISECOND);
        }
        driver.advance(60 * SECOND);
        Policy.RetainedState retained = ((Policy) driver.policy).retainedState();
        assertTrue(retained.machines() <= 2, "machines: " + retained.machines());
        assertTrue(retained.tasks() <= 2, "tasks: " + retained.tasks());
        assertTrue(retained.pendingTasks() <= 2, "pending tasks: " + retained.pendingTasks());
        assertTrue(retained.services() <= 2, "services: " + retained.services());
    }
}

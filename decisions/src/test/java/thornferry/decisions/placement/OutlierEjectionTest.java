package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
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
import static thornferry.decisions.placement.PolicyFixtures.requestOfOwnService;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.ClientDisconnected;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.ObservationKind;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.TaskObserved;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/**
 * Tests when machines are ejected or excluded after failed attempts, and when they are readmitted.
 */
class OutlierEjectionTest {
    private final PolicyFixtures fixtures = new PolicyFixtures();

    @Test
    void appliesSlowStartToMachineThatRespondsAgainAfterLosingTask() {
        fixtures.instanceCount = 4;
        fixtures.slowStartOffers = 20;
        PolicyDriver driver = new PolicyDriver(fixtures);
        driver.send(fullList(readyMachine("m1", "a", 18)));
        driver.advance(10 * SECOND);
        Offer first = driver.sendForOffer(request("r0", "safe", 0.1));
        driver.send(new AttemptAccepted("r0", 0, "m1", MILLISECOND));
        driver.advance(10 * SECOND);
        driver.send(
                new AttemptEnded(
                        "r0",
                        0,
                        first.machine(),
                        AttemptOutcome.LOST,
                        0,
                        true,
                        OutcomeReason.NONE,
                        null));
        assertTrue(driver.advance(2 * SECOND).contains(new CheckHealth("m1")));
        driver.send(new HealthCheckCompleted("m1", true, MILLISECOND, null));
        int offers = 0;
        for (int i = 1; i <= 10; i++) {
            offers += driver.sendForOffer(request("r" + i, "safe", 0.1)) == null ? 0 : 1;
        }
        assertEquals(4, offers);
    }

    @Test
    void ejectsMachineThatLosesConnectionDuringOfferUntilHealthCheck() {
        PolicyDriver driver =
                fixtures.driverWith(
                        readyMachine("m1", "a", 18),
                        readyMachine("m2", "a", 2),
                        readyMachine("m3", "a", 2));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        assertEquals("m1", first.machine());
        driver.send(attemptEnded(first, 0, AttemptOutcome.LOST, OutcomeReason.NONE));
        driver.advance(100 * MILLISECOND);
        assertNotEquals("m1", driver.sendForOffer(request("r2", "safe", 0.5)).machine());
        assertTrue(driver.advance(2 * SECOND).contains(new CheckHealth("m1")));
        driver.send(new HealthCheckCompleted("m1", true, MILLISECOND, null));
        assertEquals("m1", driver.sendForOffer(request("r3", "safe", 1)).machine());
    }

    @Test
    void ignoresEjectionsWhenMostMachinesAreEjected() {
        PolicyDriver driver =
                fixtures.driverWith(
                        readyMachine("m1", "a", 18),
                        readyMachine("m2", "a", 18),
                        readyMachine("m3", "a", 18));
        for (int i = 0; i < 2; i++) {
            driver.send(
                    attemptEnded(
                            driver.sendForOffer(request("r" + i, "safe", 1)),
                            0,
                            AttemptOutcome.LOST,
                            OutcomeReason.NONE));
        }
        Set<String> used = new HashSet<>();
        for (int i = 10; i < 22; i++) {
            Offer offer = driver.sendForOffer(request("r" + i, "safe", 3));
            if (offer != null) {
                used.add(offer.machine());
            }
        }
        assertEquals(3, used.size(), "ejected machines are used again");
    }

    @Test
    void ejectsMachineThatLosesRunningTask() {
        PolicyDriver driver =
                fixtures.driverWith(
                        readyMachine("m1", "a", 18),
                        readyMachine("m2", "a", 2),
                        readyMachine("m3", "a", 2));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        driver.send(new AttemptAccepted("r1", 0, first.machine(), MILLISECOND));
        driver.send(
                new AttemptEnded(
                        "r1",
                        0,
                        first.machine(),
                        AttemptOutcome.LOST,
                        SECOND,
                        true,
                        OutcomeReason.NONE,
                        null));
        assertNotEquals("m1", driver.sendForOffer(request("r2", "safe", 0.5)).machine());
    }

    @Test
    void ejectsMachineForOneClassAfterRejectionWithoutReason() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        driver.send(attemptEnded(first, 0, AttemptOutcome.REJECTED, OutcomeReason.NONE));
        assertNull(
                driver.sendForOffer(request("r2", "safe", 1)),
                "the task of the same class is pending");
        assertNotNull(
                driver.sendForOffer(request("r3", "keyed", 1)),
                "a task of another class is offered");
        assertTrue(
                driver.advance(3 * SECOND).stream().anyMatch(Offer.class::isInstance),
                "the machine gets offers again after the ejection");
    }

    @Test
    void ejectsMachineForOneClassAfterTimeoutOfThatClass() {
        fixtures.instanceCount = 200;
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 18));
        Offer silent = driver.sendForOffer(request("r1", "safe", 1));
        Offer served = driver.sendForOffer(request("r2", "keyed", 1));
        driver.advance(SECOND);
        driver.send(new AttemptAccepted("r2", 0, served.machine(), MILLISECOND));
        driver.send(attemptEnded(silent, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE));
        assertNull(driver.sendForOffer(request("r3", "safe", 1)));
        assertNotNull(driver.sendForOffer(request("r4", "keyed", 1)));
    }

    @Test
    void excludesMachineWithFullQueueEvenIfItAcceptsEarlierOffer() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 18));
        Offer accepted = driver.sendForOffer(request("r1", "safe", 1));
        Offer rejected = driver.sendForOffer(request("r2", "safe", 1));
        driver.send(attemptEnded(rejected, 0, AttemptOutcome.REJECTED, OutcomeReason.QUEUE_FULL));
        driver.send(new AttemptAccepted("r1", 0, accepted.machine(), MILLISECOND));
        assertNull(driver.sendForOffer(request("r3", "safe", 1)));
        assertTrue(driver.advance(300 * MILLISECOND).stream().anyMatch(Offer.class::isInstance));
    }

    @Test
    void excludesMachineThatEvacuatesTasks() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 4), readyMachine("m2", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        driver.send(new AttemptAccepted("r1", 0, "m2", MILLISECOND));
        driver.send(
                new AttemptEnded(
                        "r1",
                        0,
                        "m2",
                        AttemptOutcome.LOST,
                        0,
                        true,
                        OutcomeReason.EVACUATED,
                        null));
        assertEquals("m2", first.machine());
        assertEquals("m1", driver.sendForOffer(request("r2", "safe", 1)).machine());
        driver.advance(6 * SECOND);
        assertEquals(
                "m2",
                driver.sendForOffer(request("r3", "safe", 1)).machine(),
                "the machine did not shut down");
    }

    @Test
    void excludesUnavailableMachineUntilItRestarts() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 4), readyMachine("m2", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        driver.send(attemptEnded(first, 0, AttemptOutcome.REJECTED, OutcomeReason.UNAVAILABLE));
        assertEquals("m1", driver.sendForOffer(request("r2", "safe", 1)).machine());
        driver.send(deltaList(machine("m2", "a", MachineState.READY, 18, driver.nowMicros)));
        assertEquals(
                "m2",
                driver.sendForOffer(request("r3", "safe", 1)).machine(),
                "the machine has restarted");
    }

    @Test
    void doesNotExcludeMachineThatRejectsTaskWithKeyAsUnavailable() {
        PolicyDriver driver =
                fixtures.driverWith(
                        readyMachine("m1", "a", 4),
                        readyMachine("m2", "a", 18),
                        readyMachine("m3", "a", 3));
        Set<String> tried = new HashSet<>();
        Offer offer = driver.sendForOffer(request("r1", "keyed", 1));
        for (int i = 0; i < 3; i++) {
            assertTrue(tried.add(offer.machine()));
            offer =
                    driver.sendForOffer(
                            attemptEnded(
                                    offer, i, AttemptOutcome.REJECTED, OutcomeReason.UNAVAILABLE));
        }
        assertEquals("m2", driver.sendForOffer(request("r2", "safe", 1)).machine());
    }

    @Test
    void nonIdempotentTasksAvoidMachineWithErrors() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 8), readyMachine("m2", "a", 18));
        for (int i = 0; i < 2; i++) {
            Offer first = driver.sendForOffer(requestOfOwnService("r" + i, "safe"));
            assertEquals("m2", first.machine());
            assertEquals("m1", sendError(driver, 0, first).machine());
            driver.send(new AttemptAccepted("r" + i, 1, "m1", MILLISECOND));
        }
        assertEquals("m1", driver.sendForOffer(requestOfOwnService("r3", "unsafe")).machine());
        assertEquals(
                "m2",
                driver.sendForOffer(requestOfOwnService("r4", "safe")).machine(),
                "errors do not count for an idempotent task");
        for (int i = 5; i < 12; i++) {
            assertEquals("m2", driver.sendForOffer(requestOfOwnService("r" + i, "safe")).machine());
            driver.send(new AttemptAccepted("r" + i, 0, "m2", MILLISECOND));
            driver.send(new TaskObserved("r" + i, 0, "m2", ObservationKind.RUNNING, 1));
        }
        assertEquals(
                "m2",
                driver.sendForOffer(requestOfOwnService("r20", "unsafe")).machine(),
                "the machine has recovered");
    }

    @Test
    void doesNotBlameMachinesForTaskThatFailsEverywhere() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 8), readyMachine("m2", "a", 18));
        for (int i = 0; i < 20; i++) {
            Offer offer =
                    driver.sendForOffer(
                            requestOfOwnService("r" + i, i % 2 == 0 ? "safe" : "unsafe"));
            assertEquals("m2", offer.machine(), "the machine is not at fault");
            offer = sendError(driver, 0, offer);
            if (offer != null) {
                sendError(driver, 1, offer);
                driver.send(new ClientDisconnected("r" + i));
            }
        }
    }

    private Offer sendError(PolicyDriver driver, int attempt, Offer offer) {
        return driver.sendForOffer(
                attemptEnded(offer, attempt, AttemptOutcome.ERROR, OutcomeReason.NONE));
    }
}

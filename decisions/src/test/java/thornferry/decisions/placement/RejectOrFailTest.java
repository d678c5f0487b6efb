package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MILLISECOND;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.attemptEnded;
import static thornferry.decisions.placement.PolicyFixtures.deltaList;
import static thornferry.decisions.placement.PolicyFixtures.readyMachine;
import static thornferry.decisions.placement.PolicyFixtures.request;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.ClientDisconnected;
import thornferry.decisions.placement.Placement.Fail;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.Pending;
import thornferry.decisions.placement.Placement.Reject;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/** Tests that each request has one result in time, and that no task runs twice that must not. */
class RejectOrFailTest {
    private final PolicyFixtures fixtures = new PolicyFixtures();

    @Test
    void rejectsPendingRequestBeforeClientStopsWaiting() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 0.5));
        assertTrue(
                driver.send(request("r1", "safe", 3)).stream().allMatch(Pending.class::isInstance),
                "the task is pending while no machine has capacity");
        assertEquals(
                List.of(),
                driver.advance(7 * SECOND).stream()
                        .filter(action -> !(action instanceof CheckHealth))
                        .toList());
        assertTrue(driver.advance(SECOND).contains(new Reject("r1", 0)));
    }

    @Test
    void rejectsRequestWithMaxWaitBelowOneTickAtOnce() {
        PolicyDriver driver = fixtures.driverWith();
        assertEquals(
                List.of(new Reject("r1", 0)),
                driver.send(request("r1", "safe", 1, 5 * MILLISECOND)));
    }

    @Test
    void offersPendingTaskOnceCapacityIsFree() {
        PolicyDriver driver = fixtures.driverWith(readyMachine("m1", "a", 0.5));
        driver.send(request("r1", "safe", 3));
        driver.send(deltaList(readyMachine("m1", "a", 15)));
        assertTrue(driver.advance(100 * MILLISECOND).stream().anyMatch(Offer.class::isInstance));
    }

    @Test
    void rejectsTaskAfterMaxAttempts() {
        fixtures.maxAttempts = 2;
        PolicyDriver driver =
                fixtures.driverWith(
                        readyMachine("m1", "a", 18),
                        readyMachine("m2", "a", 18),
                        readyMachine("m3", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        Offer second =
                driver.sendForOffer(
                        attemptEnded(
                                first,
                                0,
                                AttemptOutcome.REJECTED,
                                OutcomeReason.INSUFFICIENT_CORES));
        assertNotEquals(first.machine(), second.machine());
        assertEquals(
                List.of(new Reject("r1", 0)),
                driver.send(
                        attemptEnded(
                                second,
                                1,
                                AttemptOutcome.REJECTED,
                                OutcomeReason.INSUFFICIENT_CORES)));
    }

    @Test
    void emitsNoActionAfterClientDisconnected() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 18), readyMachine("m2", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        driver.send(new ClientDisconnected("r1"));
        assertTrue(
                driver.send(
                                attemptEnded(
                                        first,
                                        0,
                                        AttemptOutcome.REJECTED,
                                        OutcomeReason.INSUFFICIENT_CORES))
                        .isEmpty());
    }

    @Test
    void failsNonIdempotentTaskThatMayHaveRun() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 18), readyMachine("m2", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "unsafe", 1));
        driver.advance(2 * SECOND);
        assertTrue(
                driver.send(attemptEnded(first, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE))
                        .contains(new Fail("r1")));
    }

    @Test
    void retriesTaskWithKeyOnlyWithinKeyScope() {
        PolicyDriver driver =
                fixtures.driverWith(
                        readyMachine("m1", "a", 18),
                        readyMachine("m2", "b", 18),
                        readyMachine("m3", "a", 18),
                        readyMachine("m4", "b", 18));
        Offer first = driver.sendForOffer(request("r1", "keyed", 1));
        driver.advance(SECOND);
        Offer second =
                driver.sendForOffer(
                        attemptEnded(first, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE));
        assertNotEquals(first.machine(), second.machine());
        Set<String> zoneA = Set.of("m1", "m3");
        assertEquals(zoneA.contains(first.machine()), zoneA.contains(second.machine()));
    }

    @Test
    void failsTaskAfterKeyWindowUnlessKeyScopeIsAll() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 18), readyMachine("m2", "a", 18));
        Offer keyInZone = driver.sendForOffer(request("r1", "keyed", 1));
        Offer keyEverywhere = driver.sendForOffer(request("r2", "keyedAll", 1));
        driver.advance(5 * SECOND);
        assertTrue(
                driver.send(
                                attemptEnded(
                                        keyInZone, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE))
                        .contains(new Fail("r1")));
        assertTrue(
                driver.send(
                                attemptEnded(
                                        keyEverywhere,
                                        0,
                                        AttemptOutcome.TIMED_OUT,
                                        OutcomeReason.NONE))
                        .contains(new Reject("r2", 0)));
    }

    @Test
    void ignoresSecondOutcomeOfSameAttempt() {
        PolicyDriver driver =
                fixtures.driverWith(readyMachine("m1", "a", 18), readyMachine("m2", "a", 18));
        Offer first = driver.sendForOffer(request("r1", "safe", 1));
        assertNotNull(
                driver.sendForOffer(
                        attemptEnded(
                                first,
                                0,
                                AttemptOutcome.REJECTED,
                                OutcomeReason.INSUFFICIENT_CORES)));
        assertTrue(
                driver.send(
                                attemptEnded(
                                        first,
                                        0,
                                        AttemptOutcome.REJECTED,
                                        OutcomeReason.INSUFFICIENT_CORES))
                        .isEmpty());
    }
}
